#include "glenhollow/entry/entry_node.hpp"

#include "glenhollow/core/port_file.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/core/run_after.hpp"
#include "glenhollow/entry/control_plane.hpp"
#include "glenhollow/entry/operator_service.hpp"
#include "glenhollow/entry/peer_service.hpp"
#include "glenhollow/entry/shard_group.hpp"
#include "glenhollow/rpc/rpc_listener.hpp"
#include "glenhollow/rpc/rpc_loop.hpp"
#include "glenhollow/security/token.hpp"
#include "glenhollow/supervision/supervisor.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <csignal>

namespace glenhollow
{

namespace asio = boost::asio;

namespace
{

/// Time that /readyz returns 503 before an idle entry stops listening, so that
/// the load balancer removes it first.
constexpr duration unready_period = seconds{1};
constexpr duration stop_check_interval = milliseconds{20};
constexpr duration fence_check_interval = milliseconds{200};

/// Exit status of an entry whose jobs another entry adopted.
constexpr int exit_status_fenced = 3;

/// Configuration that traffic threads read; replaced as a whole.
struct caller_policy
{
    job_limits limits;                         ///< Limits of a job.
    std::map<std::string, std::string> tokens; ///< Hashes by account.
};

job_limits make_job_limits(const tuning& values)
{
    const auto to_duration = [](double s)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(s));
    };
    job_limits limits;
    limits.max_tasks = static_cast<std::size_t>(values.max_tasks);
    limits.max_deadline = to_duration(values.longest_deadline_s);
    limits.default_deadline = to_duration(values.usual_deadline_s);
    return limits;
}

} // namespace

/// State of the entry process.
struct entry_node::state final : entry_backend
{
    explicit state(const entry_settings& s, operator_tokens t)
        : settings(s), tokens(std::move(t)), signals(control.io()),
          root("root", control.io())
    {
    }

    entry_settings settings; ///< Validated settings.
    operator_tokens tokens;  ///< Tokens of the operators.
    std::uint64_t incarnation = random_incarnation(); ///< Start identifier.
    rpc_loop control;                     ///< Event loop of the control thread.
    asio::signal_set signals;             ///< Handles SIGTERM and SIGINT.
    supervisor root;                      ///< Root of the supervision tree.
    std::unique_ptr<span_exporter> spans; ///< Trace exporter; may be null.
    std::unique_ptr<rpc_listener> listener; ///< Accepts peer links.
    std::unique_ptr<shard_group> shards;    ///< The traffic threads.
    std::unique_ptr<control_plane> plane;
    std::unique_ptr<operator_service> operators; ///< Executes statements.
    std::atomic<bool> is_stopping{false};        ///< A planned stop has begun.
    std::atomic<std::shared_ptr<const caller_policy>> policy{
        std::make_shared<const caller_policy>()}; ///< Read by traffic threads.
    int exit_status = 0; ///< Exit status of the process.

    result<void> listen()
    {
        if (!settings.trace_file.empty())
        {
            BOOST_OUTCOME_TRY(auto exporter,
                              span_exporter::create(settings.trace_file,
                                                    settings.trace_share,
                                                    "glenhollow-entry"));
            spans = std::move(exporter);
        }
        BOOST_OUTCOME_TRY(auto links,
                          rpc_listener::create(control.io(), settings.address,
                                               settings.rpc_port));
        listener = std::move(links);
        std::vector<std::unique_ptr<shard>> created;
        std::uint16_t port = settings.http_port;
        for (std::uint32_t i = 0; i < settings.threads; ++i)
        {
            BOOST_OUTCOME_TRY(auto one, make_shard(i, port));
            port = one->port();
            created.push_back(std::move(one));
        }
        shards =
            std::make_unique<shard_group>(std::move(created), control.io());
        control_plane_settings limits;
        limits.entry = settings.name;
        limits.hall = settings.hall;
        limits.incarnation = incarnation;
        limits.platform.server = settings.platform;
        limits.platform.reads_per_second = settings.platform_reads_per_s;
        limits.platform.writes_per_second = settings.platform_writes_per_s;
        limits.seeds = settings.seeds;
        limits.subset = {settings.own_hall_links, settings.other_hall_links};
        limits.defaults = settings.defaults;
        limits.report_interval = settings.report;
        plane = std::make_unique<control_plane>(control.io(), *shards, limits);
        plane->on_configuration_changed([this](const configuration& newer)
                                        { update_caller_policy(newer); });
        operators = std::make_unique<operator_service>(*plane, *this);
        return write_port_file(settings.port_file, {port, listener->port()});
    }

    result<std::unique_ptr<shard>> make_shard(std::uint32_t index,
                                              std::uint16_t port)
    {
        shard_settings limits;
        limits.coordinator.hall = settings.hall;
        limits.coordinator.entry = settings.name;
        limits.coordinator.shard = index;
        limits.coordinator.shards = settings.threads;
        limits.coordinator.ring_records = settings.ring_records;
        limits.links.hall = settings.hall;
        limits.links.entry = settings.name;
        limits.links.incarnation = incarnation;
        limits.links.shard = index;
        limits.http.address = settings.address;
        limits.http.port = port;
        limits.http.share_port = settings.threads > 1;
        limits.http.max_body_bytes = settings.max_body_bytes;
        limits.incarnation = incarnation;
        limits.seed = incarnation + index;
        return shard::create(limits, *this, spans.get());
    }

    void update_caller_policy(const configuration& newer)
    {
        auto new_policy = std::make_shared<caller_policy>();
        new_policy->limits = make_job_limits(newer.settings(plane->defaults()));
        for (const auto& [team, row] : newer.rows_of(row_kind::token))
            new_policy->tokens.emplace(team, row.value);
        policy = std::move(new_policy);
    }

    void build_supervision_tree()
    {
        auto traffic = std::make_unique<supervisor>("traffic", control.io());
        for (std::size_t i = 0; i < shards->size(); ++i)
        {
            auto& one = shards->at(i);
            traffic->add(std::make_unique<thread_task>(
                             "shard_" + std::to_string(i), control.io(),
                             [&one] { one.run(); }, [&one] { one.stop(); }),
                         restart_policy::escalate);
        }
        root.add(std::move(traffic), restart_policy::escalate);
        auto control_tasks =
            std::make_unique<supervisor>("control", control.io());
        plane->add_periodic_tasks(*control_tasks);
        control_tasks->add(
            std::make_unique<periodic_task>("fence_watch", control.io(),
                                            fence_check_interval,
                                            [this] { check_fencing(); }),
            restart_policy::restart);
        root.add(std::move(control_tasks), restart_policy::escalate);
    }

    // entry_backend

    std::vector<submission_id> issue_ids(std::size_t count) override
    {
        // The calling shard issues the ids, so that no lock is needed and the
        // job stays on its caller's thread.
        auto* local_shard = shard::current();
        assert(local_shard);
        std::vector<submission_id> ids;
        for (std::size_t i = 0; i < count; ++i)
            ids.push_back(local_shard->jobs().issue_id());
        return ids;
    }

    void submit(routed_job job, answer_callback done) override
    {
        if (job.id.incarnation != incarnation)
        {
            auto shared = std::make_shared<routed_job>(std::move(job));
            asio::post(control.io(),
                       [this, shared, done = std::move(done)]
                       {
                           plane->foreign().resolve(
                               {shared->id, std::move(shared->body),
                                shared->trace ? shared->trace->to_header() : "",
                                false},
                               done);
                       });
            return;
        }
        auto shared = std::make_shared<routed_job>(std::move(job));
        shards->owner_of(shared->id.sequence)
            .run_or_post(
                [shared, done = std::move(done)](shard& owner)
                {
                    owner.jobs().submit(
                        shared->id.sequence, std::move(shared->request),
                        std::move(shared->trace),
                        [done](const job_answer& answer) { done(answer); });
                    owner.schedule_dispatch();
                });
    }

    void lookup(const submission_id& id, answer_callback done) override
    {
        if (id.incarnation != incarnation)
        {
            asio::post(control.io(),
                       [this, id, done = std::move(done)] {
                           plane->foreign().resolve(
                               {id, std::nullopt, "", false}, done);
                       });
            return;
        }
        shards->owner_of(id.sequence)
            .run_or_post([id, done = std::move(done)](shard& owner)
                         { done(owner.jobs().lookup(id.sequence)); });
    }

    void operate(std::string statement, std::string by,
                 answer_callback done) override
    {
        asio::post(control.io(),
                   [this, statement = std::move(statement), by = std::move(by),
                    done = std::move(done)] {
                       operators->run(statement, by,
                                      statement_scope::all_entries, done);
                   });
    }

    void metrics(std::function<void(std::string)> done) override
    {
        asio::post(control.io(),
                   [this, done = std::move(done)]
                   {
                       shards->gather<metric_page>(
                           [](shard& one)
                           {
                               metric_page page;
                               one.collect(page);
                               return page;
                           },
                           [this, done](const std::vector<metric_page>& pages)
                           {
                               metric_page all;
                               for (const auto& page : pages)
                                   all.merge(page);
                               plane->collect(all);
                               listener->collect(all);
                               all.gauge("stopping",
                                         "1 during a planned stop, otherwise 0",
                                         is_stopping ? 1 : 0);
                               all.counter(
                                   "restarts_total",
                                   "Restarts of tasks by the supervisor",
                                   static_cast<double>(root.restarts()));
                               done(all.render());
                           });
                   });
    }

    bool stopping() const override { return is_stopping; }

    job_limits limits() const override { return policy.load()->limits; }

    std::optional<std::string>
    authenticate_operator(std::string_view authorization) const override
    {
        return tokens.owner_of(authorization);
    }

    bool may_use_team(const std::string& team,
                      std::string_view authorization) const override
    {
        const auto current = policy.load();
        const auto known = current->tokens.find(team);
        return known == current->tokens.end() ||
               token_matches(bearer_token(authorization), known->second);
    }

    // Planned stop

    void await_signal()
    {
        signals.add(SIGTERM);
        signals.add(SIGINT);
        signals.async_wait(
            [this](boost::system::error_code ec, int)
            {
                if (!ec)
                    begin_planned_stop(0);
            });
    }

    void begin_planned_stop(int status)
    {
        if (is_stopping.exchange(true))
            return;
        exit_status = status;
        log_change(log_level::info, "stop_begun", {{"entry", settings.name}});
        plane->announce_stop();
        shards->post_to_all([](shard& one) { one.jobs().stop_accepting(); });
        wait_for_idle(process_clock().now() + unready_period);
    }

    void wait_for_idle(instant not_before)
    {
        shards->gather<bool>(
            [](shard& one)
            {
                one.close_after_answers();
                return one.idle();
            },
            [this, not_before](const std::vector<bool>& idle)
            {
                const bool all_idle = std::all_of(idle.begin(), idle.end(),
                                                  [](bool one) { return one; });
                if (all_idle && process_clock().now() >= not_before)
                    return plane->hand_over_answers(
                        [this] { finish_late_requests(); });
                run_after(control.io(), stop_check_interval,
                          [this, not_before] { wait_for_idle(not_before); });
            });
    }

    /// Answers the requests that arrived during the handover, then ends.
    void finish_late_requests()
    {
        shards->gather<bool>(
            [](shard& one)
            {
                one.stop_accepting();
                return one.idle();
            },
            [this](const std::vector<bool>& idle)
            {
                const bool all_idle = std::all_of(idle.begin(), idle.end(),
                                                  [](bool one) { return one; });
                if (all_idle)
                    return end();
                run_after(control.io(), stop_check_interval,
                          [this] { finish_late_requests(); });
            });
    }

    void check_fencing()
    {
        shards->gather<bool>(
            [](shard& one) { return one.jobs().fenced(); },
            [this](const std::vector<bool>& fenced)
            {
                const bool any = std::any_of(fenced.begin(), fenced.end(),
                                             [](bool one) { return one; });
                if (!any || is_stopping)
                    return;
                log_change(log_level::error, "fenced_by_adoption",
                           {{"entry", settings.name}});
                begin_planned_stop(exit_status_fenced);
            });
    }

    void end()
    {
        root.stop();
        control.stop();
    }

    int run()
    {
        build_supervision_tree();
        await_signal();
        control.run(
            [this]
            {
                listener->serve(
                    kj::heap<peer_service>(*plane, *this, *operators));
                root.start(
                    [this](const std::string& why)
                    {
                        log_change(log_level::error, "process_stops",
                                   {{"cause", why}});
                        exit_status = 1;
                        control.stop();
                    });
                plane->start();
                log_change(log_level::info, "entry_started",
                           {{"entry", settings.name},
                            {"hall", settings.hall},
                            {"incarnation", incarnation},
                            {"http_port", shards->at(0).port()},
                            {"rpc_port", listener->port()},
                            {"threads", settings.threads}});
            },
            [this]
            {
                plane->close();
                listener->close();
            });
        log_change(log_level::info, "entry_stopped",
                   {{"entry", settings.name}, {"status", exit_status}});
        return exit_status;
    }
};

entry_node::entry_node(std::unique_ptr<state> state) : state_(std::move(state))
{
}

entry_node::~entry_node() = default;

result<std::unique_ptr<entry_node>>
entry_node::create(const entry_settings& settings)
{
    BOOST_OUTCOME_TRY(auto tokens,
                      operator_tokens::parse(settings.operator_tokens));
    auto created = std::make_unique<state>(settings, std::move(tokens));
    BOOST_OUTCOME_TRYV(created->listen());
    return std::unique_ptr<entry_node>(new entry_node(std::move(created)));
}

int entry_node::run()
{
    return state_->run();
}

} // namespace glenhollow
