#include "glenhollow/runs/runner_memo.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace glenhollow
{

namespace json = boost::json;

std::string encode_runner_memo(const runner_account& account)
{
    const auto& room = account.capacity;
    json::object out;
    out["service"] = account.service;
    out["instance"] = account.instance;
    out["born_ms"] = account.born_ms;
    out["sequence"] = account.sequence;
    out["zone"] = account.zone;
    out["labels"] = json::value_from(account.labels);
    out["room"] = json::array{room.cpu, room.memory, room.gpu};
    out["phase"] = to_name(account.phase);
    return json::serialize(out);
}

result<runner_account> decode_runner_memo(const std::string& memo)
{
    try
    {
        const auto value = json::parse(memo);
        const auto& in = value.as_object();
        const auto text = [&in](std::string_view field)
        { return json::value_to<std::string>(in.at(field)); };
        const auto& room = in.at("room").as_array();
        const auto whole = [&room](std::size_t at)
        { return json::value_to<std::uint32_t>(room.at(at)); };
        const auto phase = from_name<runner_phase>(text("phase"));
        if (!phase || text("instance").empty())
            return failure{"it names no life, or no phase that is known"};
        runner_account account;
        account.service = text("service");
        account.instance = text("instance");
        if (in.contains("born_ms")) // Rows of before have none.
        {
            account.born_ms = json::value_to<std::int64_t>(in.at("born_ms"));
            account.sequence = json::value_to<std::uint64_t>(in.at("sequence"));
        }
        account.zone = text("zone");
        account.labels =
            json::value_to<std::vector<std::string>>(in.at("labels"));
        account.capacity = {whole(0), whole(1), whole(2)};
        account.phase = *phase;
        return account;
    }
    catch (const std::exception& wrong)
    {
        return failure{wrong.what()};
    }
}

} // namespace glenhollow
