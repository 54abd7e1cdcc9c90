#include "glenhollow/platform/platform_client.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

/// @return The JSON object in a body; empty if the body is not an object.
json::object parse_object(const std::string& body)
{
    boost::system::error_code ec;
    auto parsed = json::parse(body, ec);
    if (ec || !parsed.is_object())
        return {};
    return std::move(parsed.get_object());
}

std::string text_at(const json::object& from, std::string_view key)
{
    const auto* value = from.if_contains(key);
    return value && value->is_string() ? value->get_string().c_str() : "";
}

std::uint64_t number_at(const json::object& from, std::string_view key)
{
    const auto* value = from.if_contains(key);
    if (!value || !value->is_number())
        return 0;
    boost::system::error_code ec;
    const auto number = value->to_number<std::uint64_t>(ec);
    return ec ? 0 : number;
}

const json::array& array_at(const json::object& from, std::string_view key)
{
    static const json::array none;
    const auto* value = from.if_contains(key);
    return value && value->is_array() ? value->get_array() : none;
}

std::optional<member> to_member(const json::value& listed)
{
    if (!listed.is_object())
        return std::nullopt;
    const auto& vm = listed.get_object();
    const auto role = from_name<member_role>(text_at(vm, "role"));
    const auto state = from_name<member_state>(text_at(vm, "state"));
    const auto rpc = host_port::parse(text_at(vm, "rpc"));
    if (!role || !state || !rpc)
        return std::nullopt;
    return member{text_at(vm, "name"), *role, text_at(vm, "hall"), rpc.value(),
                  *state};
}

} // namespace

platform_client::platform_client(boost::asio::io_context& io,
                                 const clock_source& clock,
                                 const platform_client_settings& settings)
    : clock_(clock), settings_(settings), breaker_(settings.breaker)
{
    http_client_settings calls;
    calls.server = settings.server;
    calls.max_connections = 8;
    calls.call_timeout = settings.call_timeout;
    http_ = http_client::create(io, calls);
    const instant now = clock_.now();
    read_bucket_.configure(settings.reads_per_second,
                           settings.reads_per_second * settings.burst_seconds,
                           now);
    write_bucket_.configure(settings.writes_per_second,
                            settings.writes_per_second * settings.burst_seconds,
                            now);
}

platform_outcome platform_client::classify(const http_result& end)
{
    if (!end.answered)
        return end.progress == send_progress::nothing_sent
                   ? platform_outcome::not_sent
                   : platform_outcome::unknown;
    switch (end.response.status)
    {
    case status_ok:
        return platform_outcome::done;
    case status_conflict:
        return platform_outcome::conflict;
    case status_not_found:
        return platform_outcome::missing;
    default:
        return platform_outcome::unknown;
    }
}

void platform_client::call(http_request request, bool is_write,
                           raw_handler done)
{
    const instant now = clock_.now();
    auto& bucket = is_write ? write_bucket_ : read_bucket_;
    if (!breaker_.allow(now) || !bucket.take(1, now))
    {
        ++stats_.rejected;
        return done(platform_outcome::not_sent, {});
    }
    ++(is_write ? stats_.writes : stats_.reads);
    http_->send(std::move(request),
                [this, done = std::move(done)](http_result end)
                {
                    const auto outcome = classify(end);
                    const bool succeeded =
                        outcome != platform_outcome::unknown &&
                        outcome != platform_outcome::not_sent;
                    breaker_.record_result(succeeded, clock_.now());
                    stats_.failed += succeeded ? 0 : 1;
                    done(outcome, std::move(end.response));
                });
}

void platform_client::list_vms(std::uint64_t since, reader<vm_changes> done)
{
    http_request request;
    request.target = "/vms?since=" + std::to_string(since);
    call(std::move(request), false,
         [done = std::move(done)](platform_outcome outcome,
                                  const http_response& answer)
         {
             vm_changes changes;
             const auto body = parse_object(answer.body);
             changes.revision = number_at(body, "revision");
             for (const auto& listed : array_at(body, "vms"))
             {
                 if (auto vm = to_member(listed))
                     changes.changed.push_back(std::move(*vm));
             }
             done(outcome, std::move(changes));
         });
}

void platform_client::read_row(const std::string& key, reader<table_row> done)
{
    http_request request;
    request.target = "/table/" + key;
    call(std::move(request), false,
         [key, done = std::move(done)](platform_outcome outcome,
                                       const http_response& answer)
         {
             const auto body = parse_object(answer.body);
             done(outcome,
                  {key, text_at(body, "value"), number_at(body, "version")});
         });
}

void platform_client::transact(const table_transaction& change, writer done)
{
    json::array conditions;
    for (const auto& one : change.conditions)
        conditions.push_back(
            json::object{{"key", one.key}, {"version", one.version}});
    json::array writes;
    for (const auto& one : change.writes)
        writes.push_back(json::object{{"key", one.key}, {"value", one.value}});
    http_request request;
    request.method = "POST";
    request.target = "/table/transact";
    request.body = json::serialize(json::object{
        {"conditions", std::move(conditions)}, {"writes", std::move(writes)}});
    call(std::move(request), true,
         [done = std::move(done)](platform_outcome outcome,
                                  const http_response&) { done(outcome); });
}

void platform_client::put_object(const std::string& name, std::string content,
                                 writer done)
{
    http_request request;
    request.method = "PUT";
    request.target = "/objects/" + name;
    request.body = std::move(content);
    call(std::move(request), true,
         [done = std::move(done)](platform_outcome outcome,
                                  const http_response&) { done(outcome); });
}

void platform_client::read_object(const std::string& name,
                                  reader<std::string> done)
{
    http_request request;
    request.target = "/objects/" + name;
    call(
        std::move(request), false,
        [done = std::move(done)](platform_outcome outcome, http_response answer)
        { done(outcome, std::move(answer.body)); });
}

void platform_client::list_objects(const std::string& prefix,
                                   reader<std::vector<std::string>> done)
{
    http_request request;
    request.target = "/objects?prefix=" + prefix;
    call(std::move(request), false,
         [done = std::move(done)](platform_outcome outcome,
                                  const http_response& answer)
         {
             std::vector<std::string> names;
             const auto body = parse_object(answer.body);
             for (const auto& name : array_at(body, "objects"))
             {
                 if (name.is_string())
                     names.emplace_back(name.get_string().c_str());
             }
             done(outcome, std::move(names));
         });
}

void platform_client::collect(metric_page& page) const
{
    constexpr std::string_view help = "Calls to the platform by kind";
    page.counter("platform_calls_total", help,
                 static_cast<double>(stats_.reads), R"(kind="read")");
    page.counter("platform_calls_total", help,
                 static_cast<double>(stats_.writes), R"(kind="write")");
    page.counter("platform_calls_total", help,
                 static_cast<double>(stats_.failed), R"(kind="failed")");
    page.counter("platform_calls_total", help,
                 static_cast<double>(stats_.rejected), R"(kind="held_back")");
    page.gauge("platform_away", "1 while the circuit breaker has tripped",
               is_unavailable() ? 1 : 0);
}

} // namespace glenhollow
