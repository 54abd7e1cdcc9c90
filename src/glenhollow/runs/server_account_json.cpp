#include "glenhollow/runs/server_account_json.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace glenhollow
{

namespace json = boost::json;

std::string encode_server_account(const server_account& account)
{
    const auto& capacity = account.capacity;
    json::object out;
    out["service"] = account.service;
    out["instance"] = account.instance;
    out["born_ms"] = account.born_ms;
    out["sequence"] = account.sequence;
    out["zone"] = account.zone;
    out["labels"] = json::value_from(account.labels);
    out["room"] = json::array{capacity.cpu, capacity.memory, capacity.gpu};
    out["phase"] = to_name(account.phase);
    return json::serialize(out);
}

result<server_account> decode_server_account(const std::string& memo)
{
    try
    {
        const auto value = json::parse(memo);
        const auto& in = value.as_object();
        const auto string_at = [&in](std::string_view field)
        { return json::value_to<std::string>(in.at(field)); };
        const auto& capacity = in.at("room").as_array();
        const auto unsigned_at = [&capacity](std::size_t at)
        { return json::value_to<std::uint32_t>(capacity.at(at)); };
        const auto phase = from_name<server_phase>(string_at("phase"));
        if (!phase || string_at("instance").empty())
            return failure{
                "instance is empty, or phase is not absent, ready or draining"};
        server_account account;
        account.service = string_at("service");
        account.instance = string_at("instance");
        // Absent in older rows.
        if (in.contains("born_ms"))
        {
            account.born_ms = json::value_to<std::int64_t>(in.at("born_ms"));
            account.sequence = json::value_to<std::uint64_t>(in.at("sequence"));
        }
        account.zone = string_at("zone");
        account.labels =
            json::value_to<std::vector<std::string>>(in.at("labels"));
        account.capacity = {unsigned_at(0), unsigned_at(1), unsigned_at(2)};
        account.phase = *phase;
        return account;
    }
    catch (const std::exception& error)
    {
        return failure{error.what()};
    }
}

} // namespace glenhollow
