#include "durable_agent.hpp"

#include "glenhollow/core/random.hpp"
#include "glenhollow/core/run_after.hpp"
#include "glenhollow/durable/member_directory.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "glenhollow/rpc/rpc_loop.hpp"
#include "glenhollow/runs/server_account_json.hpp"
#include "glenhollow/telemetry/log.hpp"
#include "glenhollow/telemetry/stall_watch.hpp"
#include "platform/server_registration.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace glenhollow
{

namespace
{

constexpr duration tick_interval = milliseconds{50};
constexpr duration stop_check = milliseconds{50};
constexpr duration stop_reserve = milliseconds{1200};

/// Tokens rise with each process of an agent: by the time of day, and where
/// that was set back, the runner's refusal makes the agent raise its own.
std::uint64_t first_token()
{
    constexpr std::int64_t nanoseconds_a_ms = 1'000'000;
    return static_cast<std::uint64_t>(wall_nanoseconds() / nanoseconds_a_ms);
}

/// The whole process.
class durable_agent final
{
public:
    durable_agent(const durable_agent_settings& settings,
                  std::function<result<durable_agent_settings>()> reload)
        : settings_(settings), reload_(std::move(reload)),
          signals_(loop_.io(), SIGTERM, SIGINT, SIGHUP),
          store_(loop_.io(), settings.store),
          runner_(loop_.io(), settings.runner),
          manager_(process_clock(), runner_, delay(), first_token(),
                   settings.manager),
          registration_(manager_, settings.server_service),
          announcer_(store_, delay(),
                     {settings.name,
                      member_role::agent,
                      {settings.address, settings.rpc_port}})
    {
    }

    result<void> listen()
    {
        BOOST_OUTCOME_TRY(auto links,
                          rpc_listener::create(loop_.io(), settings_.address,
                                               settings_.rpc_port));
        links_ = std::move(links);
        auto limits = small_server_settings();
        limits.address = settings_.registration.host;
        limits.port = settings_.registration.port;
        BOOST_OUTCOME_TRY(
            auto accounts,
            http_server::create(
                loop_.io(), limits,
                [this](const http_request& request, const http_responder& done)
                { registration_.handle(request, done); }));
        accounts_ = std::move(accounts);
        limits.address = settings_.address;
        limits.port = settings_.metrics_port;
        BOOST_OUTCOME_TRY(auto metrics, http_server::create(
                                            loop_.io(), limits,
                                            [this](const http_request& request,
                                                   const http_responder& done)
                                            { serve_page(request, done); }));
        metrics_ = std::move(metrics);
        return outcome::success();
    }

    int run()
    {
        await_signal();
        loop_.run(
            [this]
            {
                service_ = std::make_unique<run_agent_service>(
                    loop_.io(), process_clock(), manager_, random_incarnation(),
                    settings_.service);
                service_->set_job_host_factory([this](const std::string& entry)
                                               { return open_host(entry); });
                links_->serve(service_->bootstrap());
                announcer_.begin([this](const std::string& memo)
                                 { take_memo(memo); });
                manager_.begin();
                tick();
                log_change(log_level::info, "agent_started",
                           {{"agent", settings_.name},
                            {"zone", settings_.zone},
                            {"runner", settings_.runner.server.to_string()}});
            },
            [this]
            {
                if (host_)
                    host_->close();
                host_server_.reset();
                service_.reset();
                links_->close();
            });
        log_change(log_level::info, "agent_stopped",
                   {{"agent", settings_.name}});
        return 0;
    }

private:
    run_manager::delay delay()
    {
        return [&io = loop_.io()](duration wait, std::function<void()> work)
        { run_after(io, wait, std::move(work)); };
    }

    /// Most agents never host: theirs is made when an entry asks.
    wire::JobHost::Client open_host(const std::string& entry)
    {
        if (!host_)
        {
            auto limits = settings_.host;
            limits.name = "host/" + settings_.name;
            limits.incarnation = random_incarnation();
            host_ = std::make_unique<job_host>(loop_.io(), process_clock(),
                                               store_, limits);
            host_server_ = std::make_unique<job_host_server>(
                process_clock(), *host_, settings_.host_server);
            if (stopping_)
                host_->refuse_new();
            log_change(log_level::info, "job_host_started",
                       {{"host", limits.name}});
        }
        return host_server_->open(entry);
    }

    void tick()
    {
        stalls_.ticked(process_clock().now());
        manager_.tick();
        service_->tick();
        if (host_)
        {
            host_->tick();
            host_server_->tick();
        }
        keep_memo();
        run_after(loop_.io(), tick_interval,
                  [this]
                  {
                      if (service_)
                          tick();
                  });
    }

    void take_memo(const std::string& memo)
    {
        const auto account = decode_server_account(memo);
        if (account)
            return manager_.restored(account.value());
        log_change(log_level::error, "memo_unreadable",
                   {{"cause", account.error().text}});
    }

    /// The next process of this agent asks the backend server by it.
    void keep_memo()
    {
        if (stopping_)
            return; // Its phase is this process's own by now.
        const auto phase = manager_.reported_phase();
        const auto incarnation = manager_.account().incarnation();
        if (incarnation.empty() ||
            (incarnation == kept_.incarnation() && phase == kept_.phase))
            return;
        auto account = manager_.account();
        account.phase = phase;
        kept_ = account;
        announcer_.keep(encode_server_account(account));
    }

    void serve_page(const http_request& request, const http_responder& done)
    {
        if (request.target != "/metrics" || !service_)
            return done({404, "text/plain", {}, "not found\n"});
        metric_page page;
        service_->collect(page);
        if (host_)
            host_->collect(page);
        stalls_.collect(page);
        store_.collect(page);
        runner_.collect(page);
        registration_.collect(page);
        links_->collect(page);
        done({200, "text/plain; version=0.0.4", {}, page.render()});
    }

    void await_signal()
    {
        signals_.async_wait(
            [this](boost::system::error_code ec, int signal)
            {
                if (ec)
                    return;
                if (signal == SIGHUP)
                    reload();
                else
                    stop();
                await_signal();
            });
    }

    /// Nothing of an agent's settings can change while it runs; a wrong file
    /// is told all the same.
    void reload()
    {
        const auto fresh = reload_();
        if (fresh)
            log_change(log_level::info, "reloaded", {});
        else
            log_change(log_level::error, "reload_refused",
                       {{"cause", fresh.error().text}});
    }

    /// Takes no more work and waits for what runs, which would lapse without
    /// this process.
    void stop()
    {
        if (std::exchange(stopping_, true))
            return;
        log_change(log_level::info, "stop_begun", {{"agent", settings_.name}});
        manager_.drain();
        if (host_)
            host_->refuse_new();
        stop_at_ = process_clock().now() + settings_.grace - stop_reserve;
        wait_for_idle();
    }

    void wait_for_idle()
    {
        const bool idle =
            manager_.idle() && (!host_ || host_->open_jobs() == 0);
        if (idle) // The last answers leave.
            return run_after(loop_.io(), stop_check, [this] { loop_.stop(); });
        if (process_clock().now() >= stop_at_)
        {
            if (host_)
                host_->give_up_all();
            return run_after(loop_.io(), stop_check, [this] { loop_.stop(); });
        }
        run_after(loop_.io(), stop_check, [this] { wait_for_idle(); });
    }

    durable_agent_settings settings_;                        ///< Checked.
    std::function<result<durable_agent_settings>()> reload_; ///< On SIGHUP.
    rpc_loop loop_;                                ///< Runs everything.
    boost::asio::signal_set signals_;              ///< Stop and reload.
    platform::http_row_store store_;               ///< The store.
    platform::http_backend_client runner_;         ///< The runner.
    run_manager manager_;                          ///< The product.
    platform::server_registration registration_;   ///< Its accounts.
    member_announcer announcer_;                   ///< Its row.
    stall_watch stalls_{{tick_interval}};          ///< Of this process.
    server_account kept_;                          ///< Last in its row's memo.
    std::unique_ptr<run_agent_service> service_;   ///< For entries.
    std::unique_ptr<job_host> host_;               ///< Of jobs of entries.
    std::unique_ptr<job_host_server> host_server_; ///< Their sessions.
    std::unique_ptr<rpc_listener> links_;          ///< From entries.
    std::unique_ptr<http_server> accounts_;        ///< From the runner.
    std::unique_ptr<http_server> metrics_;         ///< On-call people.
    bool stopping_ = false;                        ///< A planned stop.
    instant stop_at_{};                            ///< Its latest end.
};

} // namespace

int run_durable_agent(
    const durable_agent_settings& settings,
    const std::function<result<durable_agent_settings>()>& reload)
{
    durable_agent process(settings, reload);
    const auto listening = process.listen();
    if (!listening)
    {
        std::cerr << listening.error().text << "\n";
        return 1;
    }
    return process.run();
}

} // namespace glenhollow
