// standin-store: replaces the platform's row store in the soak test.
// Faults are set over HTTP.
#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/port_file.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/core/run_after.hpp"
#include "glenhollow/http/server.hpp"
#include "member_view.hpp"
#include "platform/json_body.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <tuple>
#include <vector>

using namespace glenhollow;
using namespace glenhollow::platform;
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Most rows and parts in one answer, as on the platform.
constexpr std::size_t max_rows_per_answer = 500;
constexpr std::size_t max_parts_per_answer = 1000;
/// Longest delay of a late write.
constexpr double max_write_delay_ms = 3000;
/// Table whose addresses are rewritten per reader.
constexpr std::string_view members = "members";
/// View without rewriting, for the soak test's own calls.
const member_view unchanged_view;

/// Table, part and key.
using row_name = std::tuple<std::string, std::string, std::string>;

/// Value of a row, or its deletion.
struct row_state
{
    std::string value;     ///< Value in base64.
    std::uint64_t ver = 0; ///< Version of the last change.
    bool gone = false;     ///< Whether the row is deleted.
};

/// A pending poll for changes of a table.
struct waiting_feed
{
    const member_view* view; ///< View of the reader.
    std::string table;       ///< Name of the table.
    std::uint64_t after = 0; ///< Only later versions are returned.
    instant until{};         ///< Latest time of the answer.
    http_responder done;     ///< Receives the answer.
};

/// Injected faults, set over HTTP.
struct store_faults
{
    double delay_ms = 0;     ///< Delay before each call.
    double down = 0;         ///< Share of calls that get 503.
    double too_many = 0;     ///< Share of calls that get 429.
    double lose_answers = 0; ///< Share of executed calls without an answer.
    double late = 0; ///< Share of writes executed late without an answer.
};

row_name row_name_of(const json::object& row)
{
    return {string_field(row, "table"), string_field(row, "part"),
            string_field(row, "key")};
}

/// @param view View of the reader; null: the row as written.
json::object row_json(const row_name& name, const row_state& row,
                      const member_view* view = nullptr)
{
    json::object out{{"table", std::get<0>(name)},
                     {"part", std::get<1>(name)},
                     {"key", std::get<2>(name)},
                     {"ver", row.ver}};
    if (row.gone)
        out["gone"] = true;
    else if (view != nullptr && view->links != 0 &&
             std::get<0>(name) == members)
        out["value"] = rewritten_member(*view, row.value);
    else
        out["value"] = row.value;
    return out;
}

http_response answer(const json::object& body, unsigned status = 200)
{
    return {status, "application/json", {}, json::serialize(body)};
}

std::vector<json::object> objects_of(const json::object& body,
                                     std::string_view name)
{
    std::vector<json::object> out;
    const auto* list = body.if_contains(name);
    if (list == nullptr || !list->is_array())
        return out;
    for (const auto& one : list->get_array())
    {
        if (one.is_object())
            out.push_back(one.get_object());
    }
    return out;
}

/// State of the stand-in. Not thread-safe.
class standin_store final
{
public:
    standin_store(asio::io_context& io, std::uint64_t seed)
        : io_(io), random_(seed)
    {
    }

    /// @param view View of the caller; must outlive the store.
    void handle(const member_view& view, const http_request& request,
                const http_responder& done)
    {
        if (request.target == "/fault")
            return done(set_faults(parse_object(request.body)));
        if (faults_.delay_ms <= 0)
            return serve(view, request, done);
        run_after(io_, microseconds{static_cast<long>(faults_.delay_ms * 1000)},
                  [this, &view, request, done] { serve(view, request, done); });
    }

    /// Answers polls whose wait has ended.
    void tick()
    {
        const auto now = process_clock().now();
        std::erase_if(feeds_,
                      [&](const waiting_feed& feed)
                      {
                          if (now < feed.until)
                              return false;
                          feed.done(
                              changes(*feed.view, feed.table, feed.after));
                          return true;
                      });
        run_after(io_, milliseconds{20}, [this] { tick(); });
    }

private:
    bool chance(double share) { return share > 0 && uniform(random_) < share; }

    void serve(const member_view& view, const http_request& request,
               const http_responder& done)
    {
        if (chance(faults_.down))
            return done(answer({}, 503));
        if (chance(faults_.too_many))
            return done(answer({}, 429));
        if (request.method == "POST" && chance(faults_.late))
        {
            // The caller gets no answer.
            unanswered_.push_back(done);
            const auto wait =
                static_cast<long>(max_write_delay_ms * uniform(random_));
            return run_after(io_, milliseconds{wait},
                             [this, request]
                             { transact(parse_object(request.body)); });
        }
        const bool lost = chance(faults_.lose_answers);
        if (lost)
            unanswered_.push_back(done);
        dispatch(view, request, lost ? [](const http_response&) {} : done);
    }

    void dispatch(const member_view& view, const http_request& request,
                  const http_responder& done)
    {
        const auto parsed = boost::urls::parse_origin_form(request.target);
        if (!parsed)
            return done(answer({}, 400));
        std::map<std::string, std::string> given;
        for (const auto& one : parsed->params())
            given[one.key] = one.value;
        const std::string path = parsed->path();
        if (path == "/rows-tx" && request.method == "POST")
            return done(transact(parse_object(request.body)));
        if (path == "/rows-get")
            return done(read(view, given));
        if (path == "/rows-parts")
            return done(parts(given));
        if (path == "/rows-feed")
            return feed(view, given, done);
        done(answer({}, 404));
    }

    http_response transact(const json::object& body)
    {
        json::array current;
        bool holds = true;
        for (const auto& one : objects_of(body, "expected_revision"))
        {
            const auto name = row_name_of(one);
            const auto known = rows_.find(name);
            const auto ver = known == rows_.end() ? 0 : known->second.ver;
            holds = holds && ver == unsigned_field(one, "ver");
            current.emplace_back(known == rows_.end()
                                     ? row_json(name, {{}, 0, true})
                                     : row_json(name, known->second));
        }
        if (!holds)
            return answer({{"rows", std::move(current)}, {"ver", ver_}}, 412);
        ++ver_;
        for (const auto& one : objects_of(body, "put"))
            change(row_name_of(one), {string_field(one, "value"), ver_, false});
        for (const auto& one : objects_of(body, "remove"))
        {
            if (rows_.contains(row_name_of(one)))
                change(row_name_of(one), {{}, ver_, true});
        }
        answer_feeds();
        return answer({{"ver", ver_}, {"now_ms", now_ms()}});
    }

    void change(const row_name& name, const row_state& row)
    {
        if (row.gone)
            rows_.erase(name);
        else
            rows_[name] = row;
        history_.emplace_back(name, row);
    }

    http_response read(const member_view& view,
                       std::map<std::string, std::string>& given) const
    {
        const auto& table = given["table"];
        const auto& part = given["part"];
        const auto& until = given["target_version"];
        const auto asked = std::strtoull(given["limit"].c_str(), nullptr, 10);
        const auto limit =
            asked == 0 ? max_rows_per_answer
                       : std::min<std::size_t>(asked, max_rows_per_answer);
        json::array rows;
        bool more = false;
        for (auto row = rows_.lower_bound({table, part, given["from"]});
             row != rows_.end(); ++row)
        {
            const auto& [its_table, its_part, key] = row->first;
            if (its_table != table || its_part != part ||
                (!until.empty() && key >= until))
                break;
            more = rows.size() == limit;
            if (more)
                break;
            rows.emplace_back(row_json(row->first, row->second, &view));
        }
        return answer({{"rows", std::move(rows)},
                       {"more", more},
                       {"ver", ver_},
                       {"now_ms", now_ms()}});
    }

    http_response parts(std::map<std::string, std::string>& given) const
    {
        std::set<std::string> names;
        for (const auto& [name, row] : rows_)
        {
            if (std::get<0>(name) == given["table"] &&
                std::get<1>(name) > given["after"])
                names.insert(std::get<1>(name));
        }
        json::array list;
        for (const auto& name : names)
        {
            if (list.size() < max_parts_per_answer)
                list.emplace_back(name);
        }
        return answer({{"parts", std::move(list)}, {"ver", ver_}});
    }

    void feed(const member_view& view,
              std::map<std::string, std::string>& given,
              const http_responder& done)
    {
        const auto after = std::strtoull(given["after"].c_str(), nullptr, 10);
        const auto wait = std::strtoll(given["wait_ms"].c_str(), nullptr, 10);
        if (after < oldest_version_)
            return done(answer({}, 410));
        if (has_changes(given["table"], after) || wait <= 0)
            return done(changes(view, given["table"], after));
        feeds_.push_back({&view, given["table"], after,
                          process_clock().now() + milliseconds{wait}, done});
    }

    bool has_changes(const std::string& table, std::uint64_t after) const
    {
        for (auto one = history_.rbegin();
             one != history_.rend() && one->second.ver > after; ++one)
        {
            if (std::get<0>(one->first) == table)
                return true;
        }
        return false;
    }

    http_response changes(const member_view& view, const std::string& table,
                          std::uint64_t after) const
    {
        if (after < oldest_version_)
            return answer({}, 410);
        json::array rows;
        for (const auto& [name, row] : history_)
        {
            if (row.ver > after && std::get<0>(name) == table)
                rows.emplace_back(row_json(name, row, &view));
        }
        return answer(
            {{"rows", std::move(rows)}, {"ver", ver_}, {"now_ms", now_ms()}});
    }

    void answer_feeds()
    {
        std::erase_if(feeds_,
                      [&](const waiting_feed& feed)
                      {
                          if (!has_changes(feed.table, feed.after))
                              return false;
                          feed.done(
                              changes(*feed.view, feed.table, feed.after));
                          return true;
                      });
    }

    http_response set_faults(const json::object& given)
    {
        faults_.delay_ms = double_field(given, "delay_ms", 0);
        faults_.down = double_field(given, "down", 0);
        faults_.too_many = double_field(given, "too_many", 0);
        faults_.lose_answers = double_field(given, "lose_answers", 0);
        faults_.late = double_field(given, "late", 0);
        if (bool_field(given, "forget"))
        {
            history_.clear();
            oldest_version_ = ver_;
        }
        return answer({{"ver", ver_}});
    }

    static std::int64_t now_ms()
    {
        return std::chrono::duration_cast<milliseconds>(process_clock().now())
            .count();
    }

    asio::io_context& io_;                                ///< Runs the timers.
    random_engine random_;                                ///< Draws the faults.
    store_faults faults_;                                 ///< Current faults.
    std::map<row_name, row_state> rows_;                  ///< All rows.
    std::vector<std::pair<row_name, row_state>> history_; ///< All changes.
    std::uint64_t ver_ = 0;                               ///< Newest version.
    std::uint64_t oldest_version_ =
        0; ///< Changes up to this version are dropped.
    std::vector<waiting_feed> feeds_; ///< Pending polls.
    std::vector<http_responder>
        unanswered_; ///< Responders that are never called.
};

} // namespace

int main(int argc, char** argv)
{
    http_server_settings limits;
    std::string port_file;
    std::string views_text;
    std::uint64_t seed = 1;
    command_line line("standin-store", "stand-in for the row store");
    line.text("address", limits.address, "IP number to listen on", true);
    line.number<std::uint16_t>("port", limits.port, 0, 65535, "",
                               "0 lets the kernel pick");
    line.text("port-file", port_file, "file that gets the port");
    line.number<std::uint64_t>("seed", seed, 0, 1ULL << 53, "",
                               "seed of the faults");
    line.text("views", views_text,
              "PORT=HOST:LINKS list: who calls at PORT from HOST is shown the "
              "links of other members at port LINKS");
    parse_or_exit(line, argc, argv);
    const auto views = parse_member_views(views_text);
    if (!views)
    {
        std::cerr << views.error().text << "\n";
        return exit_usage;
    }

    asio::io_context io{1};
    standin_store store(io, seed);
    auto server = http_server::create(
        io, limits,
        [&](const http_request& request, const http_responder& done)
        { store.handle(unchanged_view, request, done); });
    if (!server)
    {
        std::cerr << server.error().text << "\n";
        return 1;
    }
    std::vector<std::unique_ptr<http_server>> others;
    for (const auto& view : views.value())
    {
        limits.port = view.port;
        auto other = http_server::create(
            io, limits,
            [&](const http_request& request, const http_responder& done)
            { store.handle(view, request, done); });
        if (!other)
        {
            std::cerr << other.error().text << "\n";
            return 1;
        }
        others.push_back(std::move(other.value()));
    }
    const auto written = write_port_file(port_file, {server.value()->port()});
    if (!written)
    {
        std::cerr << written.error().text << "\n";
        return 1;
    }
    store.tick();
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { io.stop(); });
    io.run();
    return 0;
}
