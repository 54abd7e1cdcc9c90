#include "durable_entry.hpp"

#include "glenhollow/core/random.hpp"
#include "glenhollow/core/run_after.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "glenhollow/rpc/rpc_loop.hpp"
#include "glenhollow/telemetry/log.hpp"
#include "platform/catalog_format.hpp"
#include "platform/client_request_handler.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace glenhollow
{

namespace
{

/// The balancer needs two missed checks, a second apart, to leave us out.
constexpr duration unready_time = milliseconds{2300};
/// After that only connections from before can bring a request.
constexpr duration idle_time = milliseconds{400};
constexpr duration stop_check = milliseconds{50};
constexpr duration stop_reserve = milliseconds{900};
constexpr duration answer_time = milliseconds{150};

/// The whole process.
class durable_entry final
{
public:
    durable_entry(const durable_entry_settings& settings,
                  std::function<result<durable_entry_settings>()> reload)
        : settings_(settings), reload_(std::move(reload)),
          signals_(loop_.io(), SIGTERM, SIGINT, SIGHUP),
          store_(loop_.io(), settings.store),
          service_(loop_.io(), process_clock(), store_,
                   platform::make_catalog_reader, service_settings()),
          early_(
              process_clock(),
              [&io = loop_.io()](duration wait, std::function<void()> work)
              { run_after(io, wait, std::move(work)); },
              early_settings()),
          front_(service_, &early_),
          intake_(std::make_shared<intake_limits>(
              process_clock(), intake_settings::within(settings.resources)))
    {
    }

    result<void> listen()
    {
        BOOST_OUTCOME_TRY(auto links,
                          rpc_listener::create(loop_.io(), settings_.address,
                                               settings_.rpc_port));
        links_ = std::move(links);
        http_server_settings callers;
        callers.address = settings_.callers.host;
        callers.port = settings_.callers.port;
        callers.intake = intake_;
        callers.max_connections = intake_->settings().max_connections;
        callers.max_body_bytes = intake_->settings().max_body_bytes;
        BOOST_OUTCOME_TRY(
            auto front,
            http_server::create(
                loop_.io(), callers,
                [this](http_request request, http_responder done)
                { front_.handle(std::move(request), std::move(done)); }));
        callers_ = std::move(front);
        BOOST_OUTCOME_TRY(auto ready, pages(settings_.readiness));
        readiness_ = std::move(ready);
        BOOST_OUTCOME_TRY(auto metrics,
                          pages({settings_.address, settings_.metrics_port}));
        metrics_ = std::move(metrics);
        return outcome::success();
    }

    int run()
    {
        await_signal();
        loop_.run(
            [this]
            {
                links_->serve(service_.bootstrap());
                service_.add_seeds(settings_.seeds);
                service_.begin();
                log_change(log_level::info, "entry_started",
                           {{"entry", settings_.name},
                            {"zone", settings_.zone},
                            {"incarnation", incarnation_},
                            {"parts", settings_.parts}});
            },
            [this]
            {
                service_.close();
                links_->close();
            });
        log_change(log_level::info, "entry_stopped",
                   {{"entry", settings_.name}});
        return 0;
    }

private:
    durable_service_settings service_settings() const
    {
        durable_service_settings out;
        out.entry = settings_.name;
        out.incarnation = incarnation_;
        out.where = {settings_.address, settings_.rpc_port};
        out.parts = settings_.parts;
        out.share_placement = !settings_.own_placement;
        const auto tasks =
            intake_settings::within(settings_.resources).max_open_tasks;
        out.memory.max_open_tasks = tasks;
        out.ownership.jobs.max_open_tasks = tasks;
        out.memory.begin_by = settings_.begin_by;
        out.memory.warm_up = milliseconds{settings_.warm_up_ms};
        out.dispatch.review_interval = milliseconds{settings_.review_ms};
        out.dispatch.late_reserve = settings_.late_reserve;
        out.dispatch.order = settings_.order;
        out.cancellation.cache.retention = seconds{settings_.cancel_memory_s};
        out.cpu_cores = settings_.cpu_share * settings_.cores;
        out.dispatch.far_factor = settings_.far_factor;
        out.catalog = platform::operator_catalog_location();
        out.handover = settings_.handover;
        return out;
    }

    platform::early_request_settings early_settings() const
    {
        platform::early_request_settings out;
        out.warm_up = milliseconds{settings_.warm_up_ms};
        return out;
    }

    result<std::unique_ptr<http_server>> pages(const host_port& where)
    {
        auto limits = small_server_settings();
        limits.address = where.host;
        limits.port = where.port;
        return http_server::create(
            loop_.io(), limits,
            [this](const http_request& request, const http_responder& done)
            { serve_page(request, done); });
    }

    void serve_page(const http_request& request, const http_responder& done)
    {
        if (request.target == "/ready" || request.target == "/readyz")
        {
            const bool ready = service_.ready();
            return done({ready ? 200U : 503U,
                         "text/plain",
                         {},
                         ready ? "ready\n" : "not ready\n"});
        }
        if (request.target != "/metrics")
            return done({404, "text/plain", {}, "not found\n"});
        metric_page page;
        service_.collect(page);
        collect_early(page);
        store_.collect(page);
        links_->collect(page);
        intake_->collect(page);
        done({200, "text/plain; version=0.0.4", {}, page.render()});
    }

    void collect_early(metric_page& page) const
    {
        const auto& stats = early_.stats();
        const auto count = [&page](std::string_view name, std::string_view help,
                                   std::uint64_t value)
        { page.counter(name, help, static_cast<double>(value)); };
        count("requests_early_total",
              "Requests that waited for the first configuration", stats.held);
        count("requests_early_refused_total", "Of these, in vain",
              stats.refused);
        count("requests_early_left_total", "Of these, whose client left",
              stats.left);
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

    void reload()
    {
        const auto fresh = reload_();
        if (!fresh)
        {
            log_change(log_level::error, "reload_refused",
                       {{"cause", fresh.error().text}});
            return;
        }
        service_.add_seeds(fresh.value().seeds);
        log_change(log_level::info, "reloaded",
                   {{"seeds", fresh.value().seeds.size()}});
    }

    /// Parts go first, so that others take them while callers still reach
    /// them through this entry; connections go last.
    void stop()
    {
        if (std::exchange(stopping_, true))
            return;
        log_change(log_level::info, "stop_begun", {{"entry", settings_.name}});
        service_.stop();
        const auto now = process_clock().now();
        stop_at_ = now + settings_.grace - stop_reserve;
        callers_->close_after_answers();
        run_after(loop_.io(), unready_time, [this] { service_.refuse_new(); });
        run_after(loop_.io(), unready_time + idle_time,
                  [this]
                  {
                      callers_->close_idle();
                      wait_for_idle();
                  });
    }

    void wait_for_idle()
    {
        const auto now = process_clock().now();
        const bool quiet = callers_->in_flight() == 0 && service_.released();
        if (!quiet && now < stop_at_)
        {
            run_after(loop_.io(), stop_check, [this] { wait_for_idle(); });
            return;
        }
        callers_->stop_accepting();
        service_.give_up_all();
        run_after(loop_.io(), answer_time, [this] { loop_.stop(); });
    }

    durable_entry_settings settings_;                        ///< Checked.
    std::function<result<durable_entry_settings>()> reload_; ///< On SIGHUP.
    std::uint64_t incarnation_ = random_incarnation(); ///< Of this process.
    rpc_loop loop_;                                    ///< Runs everything.
    boost::asio::signal_set signals_;                  ///< Stop and reload.
    platform::http_row_store store_;                   ///< The store.
    durable_service service_;                          ///< The product.
    platform::early_requests early_;                   ///< At the start.
    platform::client_request_handler front_;           ///< Clients' side.
    std::shared_ptr<intake_limits> intake_;            ///< Of callers.
    std::unique_ptr<rpc_listener> links_;              ///< Other entries.
    std::unique_ptr<http_server> callers_;             ///< Clients.
    std::unique_ptr<http_server> readiness_;           ///< The balancer.
    std::unique_ptr<http_server> metrics_;             ///< On-call people.
    bool stopping_ = false;                            ///< A planned stop.
    instant stop_at_{};                                ///< Its latest end.
};

} // namespace

int run_durable_entry(
    const durable_entry_settings& settings,
    const std::function<result<durable_entry_settings>()>& reload)
{
    durable_entry process(settings, reload);
    const auto listening = process.listen();
    if (!listening)
    {
        std::cerr << listening.error().text << "\n";
        return 1;
    }
    return process.run();
}

} // namespace glenhollow
