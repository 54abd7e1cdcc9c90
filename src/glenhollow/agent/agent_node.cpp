#include "glenhollow/agent/agent_node.hpp"

#include "glenhollow/agent/agent_service.hpp"
#include "glenhollow/agent/runner_client.hpp"
#include "glenhollow/core/port_file.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/core/run_after.hpp"
#include "glenhollow/http/server.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "glenhollow/rpc/rpc_loop.hpp"
#include "glenhollow/supervision/supervisor.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>

namespace glenhollow
{

namespace asio = boost::asio;

namespace
{

constexpr duration tick_interval = milliseconds{500};
constexpr duration idle_check_interval = milliseconds{20};

/// Minimum time for which a stopping agent keeps answering `draining`, so that
/// entries learn of the shutdown before their connections break.
constexpr duration min_drain_time = seconds{1};

} // namespace

/// Implementation of the agent process.
struct agent_node::state
{
    explicit state(const agent_settings& s)
        : settings(s), signals(control), root("root", control)
    {
    }

    agent_settings settings;                ///< Validated settings.
    asio::io_context control{1};            ///< Runs the control thread.
    rpc_loop traffic;                       ///< Runs the traffic thread.
    asio::signal_set signals;               ///< SIGTERM and SIGINT.
    supervisor root;                        ///< Root of the supervisor tree.
    std::unique_ptr<span_exporter> spans;   ///< May be null.
    std::unique_ptr<rpc_listener> listener; ///< Accepts connections of entries.
    std::unique_ptr<http_server> admin; ///< Serves metrics and health checks.
    std::unique_ptr<http_runner_client> runner; ///< Traffic thread only.
    std::unique_ptr<task_executor> executor;    ///< Traffic thread only.
    std::unique_ptr<agent_service> service;     ///< Traffic thread only.
    std::atomic<bool> stopping{false}; ///< A graceful shutdown is in progress.
    int exit_status = 0;               ///< Exit status of the process.

    result<void> listen()
    {
        if (!settings.trace_file.empty())
        {
            BOOST_OUTCOME_TRY(auto exporter,
                              span_exporter::create(settings.trace_file, 0,
                                                    "glenhollow-agent"));
            spans = std::move(exporter);
        }
        BOOST_OUTCOME_TRY(auto link_listener,
                          rpc_listener::create(traffic.io(), settings.address,
                                               settings.port));
        listener = std::move(link_listener);
        http_server_settings admin_settings;
        admin_settings.address = settings.address;
        admin_settings.port = settings.admin_port;
        BOOST_OUTCOME_TRY(auto admin_server,
                          http_server::create(
                              control, admin_settings,
                              [this](http_request request, http_responder done)
                              { serve_admin(request, std::move(done)); }));
        admin = std::move(admin_server);
        return write_port_file(settings.port_file,
                               {listener->port(), admin->port()});
    }

    void build_tree()
    {
        auto tree = std::make_unique<supervisor>("traffic", control);
        tree->add(std::make_unique<thread_task>(
                      "links", control, [this] { run_traffic(); },
                      [this] { traffic.stop(); }),
                  restart_policy::escalate);
        root.add(std::move(tree), restart_policy::escalate);
        root.add(std::make_unique<periodic_task>(
                     "upkeep", control, tick_interval,
                     [this]
                     {
                         asio::post(
                             traffic.io(),
                             [this]
                             {
                                 executor->tick();
                                 service->tick(
                                     settings.executor.table.record_retention);
                             });
                     }),
                 restart_policy::restart);
    }

    void run_traffic()
    {
        traffic.run(
            [this]
            {
                http_client_settings client_settings;
                client_settings.server = settings.runner;
                client_settings.max_connections = settings.max_connections;
                client_settings.call_timeout = settings.task_timeout;
                runner =
                    http_runner_client::create(traffic.io(), client_settings);
                executor = std::make_unique<task_executor>(
                    process_clock(), *runner, settings.executor);
                service = std::make_unique<agent_service>(
                    process_clock(), *executor, random_incarnation(),
                    spans.get(),
                    [this](const configuration& new_configuration)
                    { configure(new_configuration); });
                listener->serve(service->bootstrap());
            },
            [this] { listener->close(); });
    }

    void configure(const configuration& new_configuration)
    {
        const auto configured_slots =
            static_cast<std::size_t>(new_configuration.settings().runner_slots);
        executor->set_slots(configured_slots == 0 ? settings.executor.slots
                                                  : configured_slots);
        // Operator drains are part of the configuration. The agent enforces its
        // own drain, even if an entry does not know of it yet.
        executor->drain(drain_cause::operator_request,
                        new_configuration.find(row_key(
                            row_kind::drain, settings.name)) != nullptr);
    }

    void serve_admin(const http_request& request, http_responder done)
    {
        if (request.target == "/metrics")
        {
            asio::post(
                traffic.io(),
                [this, done = std::move(done)]
                {
                    metric_page page;
                    service->collect(page);
                    listener->collect(page);
                    done({200, "text/plain; version=0.0.4", {}, page.render()});
                });
            return;
        }
        if (request.target == "/healthz")
            return done({200, "text/plain", {}, "ok\n"});
        if (request.target == "/readyz")
            return done(stopping
                            ? http_response{503, "text/plain", {}, "stopping\n"}
                            : http_response{200, "text/plain", {}, "ready\n"});
        done({404, "text/plain", {}, "not found\n"});
    }

    void await_signal()
    {
        signals.add(SIGTERM);
        signals.add(SIGINT);
        signals.async_wait(
            [this](boost::system::error_code ec, int)
            {
                if (!ec)
                    begin_shutdown();
            });
    }

    void begin_shutdown()
    {
        stopping = true;
        log_change(log_level::info, "stop_begun", {{"agent", settings.name}});
        asio::post(traffic.io(),
                   [this]
                   {
                       executor->drain(drain_cause::stopping, true);
                       wait_for_idle(process_clock().now() + min_drain_time);
                   });
    }

    /// Polls on the traffic thread until no task is in flight and the minimum
    /// drain time has passed, then stops the process.
    /// @param not_before End of the minimum drain time.
    void wait_for_idle(instant not_before)
    {
        if (executor->idle() && process_clock().now() >= not_before)
        {
            asio::post(control, [this] { shut_down(0); });
            return;
        }
        run_after(traffic.io(), idle_check_interval,
                  [this, not_before] { wait_for_idle(not_before); });
    }

    void shut_down(int status)
    {
        exit_status = status;
        root.stop();
        control.stop();
    }

    int run()
    {
        build_tree();
        await_signal();
        root.start(
            [this](const std::string& cause)
            {
                log_change(log_level::error, "process_stops",
                           {{"cause", cause}});
                exit_status = 1;
                control.stop();
            });
        log_change(log_level::info, "agent_started",
                   {{"agent", settings.name},
                    {"hall", settings.hall},
                    {"rpc_port", listener->port()},
                    {"admin_port", admin->port()},
                    {"runner", settings.runner.to_string()}});
        control.run();
        log_change(log_level::info, "agent_stopped",
                   {{"agent", settings.name}, {"status", exit_status}});
        return exit_status;
    }
};

agent_node::agent_node(std::unique_ptr<state> state) : state_(std::move(state))
{
}

agent_node::~agent_node() = default;

result<std::unique_ptr<agent_node>>
agent_node::create(const agent_settings& settings)
{
    auto new_state = std::make_unique<state>(settings);
    BOOST_OUTCOME_TRYV(new_state->listen());
    return std::unique_ptr<agent_node>(new agent_node(std::move(new_state)));
}

int agent_node::run()
{
    return state_->run();
}

} // namespace glenhollow
