// standin-platform: replaces the platform's VM list, table service and object
// store in tests and the demo. Faults are set over HTTP.
#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/port_file.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <vector>

using namespace glenhollow;
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// One row of the table.
struct table_row
{
    std::uint64_t version = 0; ///< Counts changes of the row.
    std::string value;         ///< Text.
};

/// One VM of the list.
struct listed_vm
{
    json::object facts;         ///< Fields as announced.
    std::uint64_t revision = 0; ///< Revision of the last change.
    instant visible{};          ///< Time at which the list shows the change.
};

/// State of the stand-in. Not thread-safe.
class standin_platform
{
public:
    standin_platform(asio::io_context& io, std::uint64_t seed)
        : io_(io), random_(seed)
    {
    }

    void handle(const http_request& request, const http_responder& done)
    {
        if (request.target == "/fault" && request.method == "POST")
            return set_fault(request, done);
        if (request.target == "/stats")
            return done(stats());
        // VMs are announced even while the services are down.
        if (request.method == "PUT" && request.target.starts_with("/vms/"))
            return done(put_vm(request));
        if (delay_ms_ <= 0)
            return serve(request, done);
        auto timer = std::make_shared<asio::steady_timer>(
            io_, microseconds{static_cast<long>(delay_ms_ * 1000)});
        timer->async_wait([this, timer, request, done](auto)
                          { serve(request, done); });
    }

private:
    void serve(const http_request& request, const http_responder& done)
    {
        if (outage_)
        {
            ++failed_;
            return done(text(503, "the service is down"));
        }
        const bool is_write = request.method != "GET";
        ++(is_write ? writes_ : reads_);
        auto answer = dispatch(request);
        if (is_write && answer.status == 200 && lose_answers_ > 0 &&
            uniform(random_) < lose_answers_)
        {
            ++lost_;
            return done(text(504, "the answer was lost"));
        }
        done(std::move(answer));
    }

    http_response dispatch(const http_request& request)
    {
        const auto parsed = boost::urls::parse_origin_form(request.target);
        if (!parsed)
            return text(400, "bad target");
        const std::string path = parsed->path();
        const auto parameter = [&](std::string_view name) -> std::string
        {
            for (const auto& one : parsed->params())
            {
                if (one.key == name)
                    return one.value;
            }
            return {};
        };
        if (path == "/vms")
            return list_vms(
                std::strtoull(parameter("since").c_str(), nullptr, 10));
        if (path == "/table/transact")
            return transact(request.body);
        if (path == "/table")
            return list_rows(parameter("prefix"));
        if (path.starts_with("/table/"))
            return read_row(path.substr(7));
        if (path == "/objects")
            return list_objects(parameter("prefix"));
        if (path.starts_with("/objects/"))
            return object(path.substr(9), request);
        return text(404, "not found");
    }

    http_response put_vm(const http_request& request)
    {
        boost::system::error_code ec;
        auto facts = json::parse(request.body, ec);
        if (ec || !facts.is_object())
            return text(400, "an object is needed");
        const std::string name = request.target.substr(5);
        auto& vm = vms_[name];
        for (auto& field : facts.get_object())
            vm.facts[field.key()] = field.value();
        vm.facts["name"] = name;
        vm.revision = ++revision_;
        vm.visible = process_clock().now() +
                     microseconds{static_cast<long>(vm_lag_ms_ * 1000)};
        return as_json(json::object{{"revision", vm.revision}});
    }

    http_response list_vms(std::uint64_t since) const
    {
        const instant now = process_clock().now();
        // A change that is not yet visible hides all later ones too.
        std::uint64_t shown = revision_;
        for (const auto& [name, vm] : vms_)
        {
            if (vm.visible > now && vm.revision <= shown)
                shown = vm.revision - 1;
        }
        json::array list;
        for (const auto& [name, vm] : vms_)
        {
            if (vm.revision > since && vm.revision <= shown)
                list.push_back(vm.facts);
        }
        return as_json(json::object{{"revision", std::max(shown, since)},
                                    {"vms", std::move(list)}});
    }

    static json::object row_json(const std::string& key, const table_row& row)
    {
        return {{"key", key}, {"value", row.value}, {"version", row.version}};
    }

    http_response read_row(const std::string& key) const
    {
        const auto found = table_.find(key);
        if (found == table_.end())
            return text(404, "no such row");
        return as_json(row_json(key, found->second));
    }

    http_response list_rows(const std::string& prefix) const
    {
        json::array rows;
        for (auto row = table_.lower_bound(prefix);
             row != table_.end() && row->first.starts_with(prefix); ++row)
            rows.push_back(row_json(row->first, row->second));
        return as_json(json::object{{"rows", std::move(rows)}});
    }

    http_response transact(const std::string& body)
    {
        boost::system::error_code ec;
        const auto given = json::parse(body, ec);
        if (ec || !given.is_object() ||
            !given.get_object().contains("conditions") ||
            !given.get_object().contains("writes"))
            return text(400, "conditions and writes are needed");
        for (const auto& one : given.at("conditions").as_array())
        {
            const std::string key = one.at("key").as_string().c_str();
            const auto wanted = one.at("version").to_number<std::uint64_t>();
            const auto found = table_.find(key);
            const auto is = found == table_.end() ? 0 : found->second.version;
            if (is != wanted)
                return as_json(
                    json::object{{"committed", false}, {"conflict", key}}, 409);
        }
        for (const auto& one : given.at("writes").as_array())
        {
            const std::string key = one.at("key").as_string().c_str();
            const auto& value = one.at("value");
            if (value.is_null())
            {
                table_.erase(key);
                continue;
            }
            auto& row = table_[key];
            ++row.version;
            row.value = value.as_string().c_str();
        }
        return as_json(json::object{{"committed", true}});
    }

    http_response list_objects(const std::string& prefix) const
    {
        json::array names;
        for (const auto& [name, content] : objects_)
        {
            if (name.starts_with(prefix))
                names.push_back(json::string(name));
        }
        return as_json(json::object{{"objects", std::move(names)}});
    }

    http_response object(const std::string& name, const http_request& request)
    {
        if (request.method == "PUT")
        {
            objects_[name] = request.body;
            return as_json(json::object{});
        }
        const auto found = objects_.find(name);
        if (found == objects_.end())
            return text(404, "no such object");
        return {200, "application/json", {}, found->second};
    }

    void set_fault(const http_request& request, const http_responder& done)
    {
        boost::system::error_code ec;
        const auto given = json::parse(request.body, ec);
        if (ec || !given.is_object())
            return done(text(400, "an object is needed"));
        const auto& fields = given.get_object();
        const auto number = [&](std::string_view name, double& target)
        {
            const auto* value = fields.if_contains(name);
            if (value && value->is_number())
                target = value->to_number<double>();
        };
        number("delay_ms", delay_ms_);
        number("lose_answers", lose_answers_);
        number("vm_lag_ms", vm_lag_ms_);
        const auto* outage = fields.if_contains("outage");
        if (outage && outage->is_bool())
            outage_ = outage->get_bool();
        done(as_json(json::object{}));
    }

    http_response stats() const
    {
        return as_json(json::object{{"reads", reads_},
                                    {"writes", writes_},
                                    {"failed", failed_},
                                    {"lost", lost_},
                                    {"objects", objects_.size()},
                                    {"rows", table_.size()}});
    }

    static http_response text(unsigned status, std::string body)
    {
        return {status, "text/plain", {}, std::move(body) + "\n"};
    }

    static http_response as_json(const json::object& body,
                                 unsigned status = 200)
    {
        return {status, "application/json", {}, json::serialize(body)};
    }

    asio::io_context& io_;                       ///< Runs the timers.
    random_engine random_;                       ///< Draws the lost answers.
    std::map<std::string, listed_vm> vms_;       ///< The VM list.
    std::uint64_t revision_ = 0;                 ///< Revision of the VM list.
    std::map<std::string, table_row> table_;     ///< The table service.
    std::map<std::string, std::string> objects_; ///< The object store.
    double delay_ms_ = 0;                        ///< Delay before each answer.
    double lose_answers_ = 0;  ///< Share of writes without an answer.
    double vm_lag_ms_ = 0;     ///< Delay of changes in the VM list.
    bool outage_ = false;      ///< All services are down.
    std::uint64_t reads_ = 0;  ///< Reads served.
    std::uint64_t writes_ = 0; ///< Writes served.
    std::uint64_t failed_ = 0; ///< Calls during outages.
    std::uint64_t lost_ = 0;   ///< Answers lost.
};

} // namespace

int main(int argc, char** argv)
{
    http_server_settings limits;
    std::string port_file;
    std::uint64_t seed = 1;
    command_line line("standin-platform", "stand-in for the platform");
    line.text("address", limits.address, "IP number to listen on", true);
    line.number<std::uint16_t>("port", limits.port, 0, 65535, "",
                               "0 lets the kernel pick");
    line.text("port-file", port_file, "file that gets the port");
    line.number<std::uint64_t>("seed", seed, 0, 1ULL << 53, "",
                               "seed of the lost answers");
    parse_or_exit(line, argc, argv);

    asio::io_context io{1};
    standin_platform platform(io, seed);
    auto server = http_server::create(
        io, limits,
        [&](http_request request, const http_responder& done)
        { platform.handle(request, done); });
    if (!server)
    {
        std::cerr << server.error().text << "\n";
        return 1;
    }
    const auto written = write_port_file(port_file, {server.value()->port()});
    if (!written)
    {
        std::cerr << written.error().text << "\n";
        return 1;
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { io.stop(); });
    io.run();
    return 0;
}
