// Stand-in for the platform's metadata store (PROTOCOL.md).
#ifndef REVIEW_STORE_HPP
#define REVIEW_STORE_HPP

#include "http.hpp"

#include <map>
#include <tuple>
#include <vector>

namespace review
{

class store
{
public:
    enum class mode
    {
        up,
        busy,  ///< Answers 503; nothing is done.
        silent ///< Answers nothing; nothing is done.
    };

    store(asio::io_context& io, tcp::endpoint where)
        : server_(io, where,
                  [this](request asked) { return serve(std::move(asked)); })
    {
        server_.open();
    }

    void set(mode to) { mode_ = to; }

    /// Writes as the operator does.
    void operator_put(const std::string& key, const std::string& value)
    {
        ++ver_;
        change({"op", "", key}, {base64(value), ver_, false});
    }

    std::uint64_t refused_writes() const { return refused_writes_; }

private:
    using name = std::tuple<std::string, std::string, std::string>;
    struct row
    {
        std::string value;
        std::uint64_t ver = 0;
        bool gone = false;
    };

    static constexpr double call_ms = 4;
    static constexpr std::size_t row_bytes = 65536;
    static constexpr std::size_t max_rows = 500;

    static std::string base64(const std::string& raw)
    {
        static constexpr char digits[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < raw.size(); i += 3)
        {
            std::uint32_t bits = 0;
            for (std::size_t j = 0; j < 3; ++j)
                bits =
                    bits << 8U |
                    (i + j < raw.size() ? static_cast<unsigned char>(raw[i + j])
                                        : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                out += i + j <= raw.size() ? digits[bits >> (18 - 6 * j) & 63U]
                                           : '=';
        }
        return out;
    }

    static name name_of(const json::object& of)
    {
        return {text(of, "table"), text(of, "part"), text(of, "key")};
    }

    static json::object shown(const name& of, const row& it)
    {
        json::object out{{"table", std::get<0>(of)},
                         {"part", std::get<1>(of)},
                         {"key", std::get<2>(of)},
                         {"ver", it.ver}};
        if (it.gone)
            out["gone"] = true;
        else
            out["value"] = it.value;
        return out;
    }

    static json::array list(const json::object& of, const char* field)
    {
        const auto* value = of.if_contains(field);
        return value != nullptr && value->is_array() ? value->as_array()
                                                     : json::array();
    }

    static double now() { return now_ms() + 50'000; }

    json::object stamp() const
    {
        return {{"ver", ver_}, {"now_ms", static_cast<std::int64_t>(now())}};
    }

    void change(const name& of, const row& to)
    {
        if (to.gone)
            rows_.erase(of);
        else
            rows_[of] = to;
        history_.emplace_back(of, to);
    }

    asio::awaitable<response> serve(request asked)
    {
        if (mode_ == mode::silent)
            co_return response{200, {}, true};
        if (mode_ == mode::busy)
            co_return response{503, json::object()};
        co_await sleep_ms(call_ms);
        // A call that is on its way when the store goes down is not done.
        if (mode_ == mode::silent)
            co_return response{200, {}, true};
        if (mode_ == mode::busy)
            co_return response{503, json::object()};
        const auto question = asked.target.find('?');
        const auto path = asked.target.substr(0, question);
        std::map<std::string, std::string> given;
        if (question != std::string::npos)
            given = parameters(asked.target.substr(question + 1));
        if (path == "/rows-tx")
            co_return transact(parse_object(asked.body));
        if (path == "/rows-get")
            co_return read(given);
        if (path == "/rows-feed")
            co_return co_await feed(given);
        if (path == "/rows-parts")
            co_return parts(given);
        co_return response{404, json::object()};
    }

    static std::string decoded(const std::string& of)
    {
        std::string out;
        for (std::size_t i = 0; i < of.size(); ++i)
        {
            if (of[i] == '%' && i + 2 < of.size())
            {
                out += static_cast<char>(
                    std::stoi(of.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            else
                out += of[i] == '+' ? ' ' : of[i];
        }
        return out;
    }

    static std::map<std::string, std::string> parameters(const std::string& of)
    {
        std::map<std::string, std::string> out;
        std::size_t at = 0;
        while (at < of.size())
        {
            const auto end = std::min(of.find('&', at), of.size());
            const auto one = of.substr(at, end - at);
            const auto equals = one.find('=');
            if (equals != std::string::npos)
                out[one.substr(0, equals)] = decoded(one.substr(equals + 1));
            at = end + 1;
        }
        return out;
    }

    static std::uint64_t number(const std::string& of)
    {
        return std::strtoull(of.c_str(), nullptr, 10);
    }

    response refuse(const char* why)
    {
        ++refused_writes_;
        return {400, json::object{{"error", why}}};
    }

    response transact(const json::object& body)
    {
        const auto expected = list(body, "expected_revision");
        const auto puts = list(body, "put");
        const auto removes = list(body, "remove");
        if (expected.size() + puts.size() + removes.size() > 100)
            return refuse("over 100 entries");
        std::set<std::string> parts;
        for (const auto* entries : {&expected, &puts, &removes})
        {
            for (const auto& one : *entries)
                parts.insert(text(one.as_object(), "part"));
        }
        if (parts.size() > 1)
            return refuse("several parts");
        for (const auto& one : puts)
        {
            if (text(one.as_object(), "value").size() / 4 * 3 > row_bytes)
                return refuse("a row is too large");
        }
        json::array current;
        bool holds = true;
        for (const auto& one : expected)
        {
            const auto of = name_of(one.as_object());
            const auto known = rows_.find(of);
            const row it =
                known == rows_.end() ? row{{}, 0, true} : known->second;
            holds = holds && it.ver == static_cast<std::uint64_t>(
                                           whole(one.as_object(), "ver"));
            current.emplace_back(shown(of, it));
        }
        if (!holds)
        {
            auto out = stamp();
            out["rows"] = std::move(current);
            return {412, std::move(out)};
        }
        ++ver_;
        for (const auto& one : puts)
            change(name_of(one.as_object()),
                   {text(one.as_object(), "value"), ver_, false});
        for (const auto& one : removes)
        {
            const auto of = name_of(one.as_object());
            if (rows_.contains(of))
                change(of, {{}, ver_, true});
        }
        return {200, stamp()};
    }

    response read(std::map<std::string, std::string>& given) const
    {
        const auto asked = number(given["limit"]);
        const auto limit =
            asked == 0 ? max_rows : std::min<std::size_t>(asked, max_rows);
        json::array found;
        bool more = false;
        for (auto at = rows_.lower_bound(
                 {given["table"], given["part"], given["from"]});
             at != rows_.end(); ++at)
        {
            const auto& [table, part, key] = at->first;
            if (table != given["table"] || part != given["part"] ||
                (given.contains("target_version") &&
                 key >= given["target_version"]))
                break;
            more = found.size() == limit;
            if (more)
                break;
            found.emplace_back(shown(at->first, at->second));
        }
        auto out = stamp();
        out["rows"] = std::move(found);
        out["more"] = more;
        return {200, std::move(out)};
    }

    response parts(std::map<std::string, std::string>& given) const
    {
        std::set<std::string> names;
        for (const auto& [of, it] : rows_)
        {
            if (std::get<0>(of) == given["table"] &&
                std::get<1>(of) > given["after"])
                names.insert(std::get<1>(of));
        }
        auto out = stamp();
        out["parts"] = json::array(names.begin(), names.end());
        return {200, std::move(out)};
    }

    asio::awaitable<response> feed(std::map<std::string, std::string> given)
    {
        const auto after = number(given["after"]);
        const double until =
            now_ms() + static_cast<double>(number(given["wait_ms"]));
        for (;;)
        {
            if (mode_ != mode::up)
                co_return response{200, {}, true};
            json::array found;
            for (auto at = history_.rbegin();
                 at != history_.rend() && at->second.ver > after; ++at)
            {
                if (std::get<0>(at->first) == given["table"])
                    found.insert(found.begin(), shown(at->first, at->second));
            }
            if (!found.empty() || now_ms() >= until)
            {
                auto out = stamp();
                out["rows"] = std::move(found);
                co_return response{200, std::move(out)};
            }
            co_await sleep_ms(5);
        }
    }

    std::map<name, row> rows_;
    std::vector<std::pair<name, row>> history_;
    std::uint64_t ver_ = 0;
    std::uint64_t refused_writes_ = 0;
    mode mode_ = mode::up;
    server server_;
};

} // namespace review

#endif
