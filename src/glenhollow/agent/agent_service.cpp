#include "glenhollow/agent/agent_service.hpp"

#include "glenhollow/configuration/configuration_wire.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace glenhollow
{

namespace
{

constexpr double seconds_per_microsecond = 1e-6;

/// Time within which a live entry reopens a lost session.
constexpr duration reconnect_window = seconds{1};

task_key to_key(wire::TaskKey::Reader key)
{
    return {key.getSequence(), key.getTask()};
}

wire::Verdict to_wire(verdict what)
{
    return static_cast<wire::Verdict>(what);
}

void fill_result(wire::TaskResult::Builder out, const task_key& key,
                 const start_record& record)
{
    out.initKey().setSequence(key.sequence);
    out.getKey().setTask(key.task);
    out.setVerdict(to_wire(record.end.what));
    out.setReason(static_cast<std::uint16_t>(record.end.why));
    out.setBody(kj::ArrayPtr<const char>(record.body.data(), record.body.size())
                    .asBytes());
    out.setWaitMicros(record.wait_micros);
    out.setRunMicros(record.run_micros);
    out.setBodyHash(record.job.body_hash);
    out.setJobTasks(record.job.tasks);
}

} // namespace

/// The tasks of one start call, which share one reply.
struct agent_service::batch
{
    std::vector<task_key> keys;               ///< Tasks in request order.
    std::vector<start_record> task_records;   ///< Outcomes, parallel to keys.
    std::shared_ptr<std::uint64_t> received;  ///< Session's count of starts.
    std::size_t pending = 0;                  ///< Number of unfinished tasks.
    kj::Own<kj::PromiseFulfiller<void>> done; ///< Fulfilled by the last one.
};

/// Serves the session of one entry shard.
class agent_service::session_server final : public wire::AgentSession::Server
{
public:
    session_server(agent_service& service, session_key key,
                   std::uint64_t generation, std::string id_prefix)
        : service_(service), key_(key), generation_(generation),
          id_prefix_(std::move(id_prefix))
    {
    }

    ~session_server() noexcept(false)
    {
        if (service_.is_current_session(key_, generation_))
            service_.sessions_.erase(key_);
    }

    kj::Promise<void> start(StartContext context) override
    {
        auto& service = service_;
        service.last_heard_[key_.incarnation] = service.clock_.now();
        const auto params = context.getParams();
        acknowledge(params.getAcknowledged());

        const auto starts = params.getStarts();
        ++service.stats_.start_calls;
        service.stats_.starts += starts.size();
        auto shared_batch = std::make_shared<batch>();
        shared_batch->pending = starts.size();
        shared_batch->received = received_;
        *received_ += starts.size();
        shared_batch->task_records.resize(starts.size());
        auto paf = kj::newPromiseAndFulfiller<void>();
        shared_batch->done = kj::mv(paf.fulfiller);
        for (std::size_t i = 0; i < starts.size(); ++i)
            shared_batch->keys.push_back(to_key(starts[i].getKey()));
        for (std::size_t i = 0; i < starts.size(); ++i)
            begin(shared_batch, i, starts[i]);
        context.releaseParams();
        return paf.promise.then(
            [&service, shared_batch, context]() mutable
            { service.fill_reply(*shared_batch, context.getResults()); });
    }

    kj::Promise<void> ping(PingContext context) override
    {
        service_.last_heard_[key_.incarnation] = service_.clock_.now();
        ++service_.stats_.pings;
        acknowledge(context.getParams().getAcknowledged());
        auto load = context.getResults().initLoad();
        service_.fill_load(load);
        load.setReceived(*received_);
        return kj::READY_NOW;
    }

private:
    void acknowledge(capnp::List<wire::TaskKey>::Reader keys)
    {
        for (const auto key : keys)
            service_.executor_.table().acknowledge(key_.incarnation,
                                                   to_key(key));
    }

    void begin(const std::shared_ptr<batch>& shared_batch, std::size_t index,
               wire::Start::Reader start)
    {
        auto complete_task = [&service = service_, shared_batch,
                              index](const start_record& record)
        { service.complete_task(*shared_batch, index, record); };
        // A start over a replaced session must not run: the entry may have
        // received not_run for it over the newer session.
        if (!service_.is_current_session(key_, generation_))
        {
            ++service_.stats_.stale_starts;
            start_record refused;
            refused.end = {verdict::not_run, reason::stale_link};
            return complete_task(refused);
        }
        task_start task;
        task.incarnation = key_.incarnation;
        task.key = shared_batch->keys[index];
        task.name = id_prefix_ + std::to_string(task.key.sequence) + "/" +
                    std::to_string(task.key.task);
        task.begin_by = instant{start.getBeginBy()};
        task.team = start.getTeam().cStr();
        task.job = {start.getBodyHash(), start.getJobTasks()};
        task.rank = start.getRank();
        const auto payload = start.getPayload().asChars();
        task.payload.assign(payload.begin(), payload.size());
        service_.start_traced(std::move(task), start.getTraceparent(),
                              std::move(complete_task));
    }

    agent_service& service_;
    session_key key_;          ///< Entry shard of the session.
    std::uint64_t generation_; ///< Sequence number among the shard's sessions.
    std::string id_prefix_;    ///< Submission id without its sequence.
    /// Number of starts received over the session.
    std::shared_ptr<std::uint64_t> received_ =
        std::make_shared<std::uint64_t>(0);
};

/// Serves the agent's bootstrap interface.
class agent_service::agent_server final : public wire::Agent::Server
{
public:
    explicit agent_server(agent_service& service) : service_(service) {}

    kj::Promise<void> hello(HelloContext context) override
    {
        const auto params = context.getParams();
        const session_key key{params.getIncarnation(), params.getShard()};
        const std::uint64_t generation = params.getGeneration();
        ++service_.stats_.hellos;
        service_.last_heard_[key.incarnation] = service_.clock_.now();
        auto& newest = service_.sessions_[key];
        newest = std::max(newest, generation);
        submission_id id{params.getHall().cStr(), params.getEntry().cStr(),
                         key.incarnation, 0};
        std::string id_prefix = id.to_string();
        id_prefix.pop_back();
        auto results = context.getResults();
        results.setSession(kj::heap<session_server>(service_, key, generation,
                                                    std::move(id_prefix)));
        results.setIncarnation(service_.incarnation_);
        service_.fill_load(results.initLoad());
        return kj::READY_NOW;
    }

    kj::Promise<void> fence(FenceContext context) override
    {
        const auto params = context.getParams();
        service_.fence(params.getIncarnation(),
                       milliseconds{params.getHeardWithinMs()},
                       context.getResults());
        return kj::READY_NOW;
    }

    kj::Promise<void> drain(DrainContext context) override
    {
        const auto params = context.getParams();
        const bool on = params.getOn();
        if (service_.executor_.table().draining() != on)
            log_change(log_level::info, on ? "draining" : "drain_ended",
                       {{"by", std::string(params.getBy().cStr())}});
        service_.executor_.drain(drain_cause::vm_leaving, on);
        service_.fill_load(context.getResults().initLoad());
        return kj::READY_NOW;
    }

    kj::Promise<void> configure(ConfigureContext context) override
    {
        auto& current = service_.configuration_;
        if (merge(current, context.getParams().getConfiguration()))
            service_.on_configuration_(current);
        context.getResults().setVersion(current.version());
        return kj::READY_NOW;
    }

    kj::Promise<void> configuration(ConfigurationContext context) override
    {
        fill(context.getResults().initConfiguration(), service_.configuration_,
             context.getParams().getSince());
        return kj::READY_NOW;
    }

    kj::Promise<void> status(StatusContext context) override
    {
        auto results = context.getResults();
        auto& executor = service_.executor_;
        service_.fill_load(results.initLoad());
        results.setStarted(executor.stats().started);
        results.setRefused(executor.stats().not_run);
        results.setRecords(executor.table().size());
        results.setBytes(executor.table().bytes());
        return kj::READY_NOW;
    }

private:
    agent_service& service_;
};

agent_service::agent_service(const clock_source& clock, task_executor& executor,
                             std::uint64_t incarnation, span_exporter* spans,
                             configuration_handler on_configuration)
    : clock_(clock), executor_(executor), incarnation_(incarnation),
      spans_(spans), on_configuration_(std::move(on_configuration))
{
}

wire::Agent::Client agent_service::bootstrap()
{
    return kj::heap<agent_server>(*this);
}

bool agent_service::is_current_session(const session_key& key,
                                       std::uint64_t generation) const
{
    const auto found = sessions_.find(key);
    return found != sessions_.end() && found->second == generation;
}

void agent_service::fill_load(wire::Load::Builder out) const
{
    const auto load = executor_.load();
    out.setSlots(static_cast<std::uint32_t>(load.slots));
    out.setRunning(static_cast<std::uint32_t>(load.running));
    out.setQueued(static_cast<std::uint32_t>(load.queued));
    out.setClock(clock_.now().count());
    out.setDraining(load.draining);
    out.setShunned(load.unreachable);
    out.setConfigVersion(configuration_.version());
    out.setLinks(static_cast<std::uint32_t>(sessions_.size()));
}

void agent_service::start_traced(task_start task,
                                 capnp::Text::Reader traceparent,
                                 task_executor::handler done)
{
    const auto parent = trace_context::parse(
        std::string_view(traceparent.cStr(), traceparent.size()));
    if (!parent)
        return executor_.start(std::move(task), std::move(done));
    const auto agent_context = parent->child();
    task.traceparent = agent_context.to_header();
    if (!spans_ || !agent_context.sampled)
        return executor_.start(std::move(task), std::move(done));
    auto agent_span = std::make_shared<span>();
    agent_span->name = "agent";
    agent_span->context = agent_context;
    agent_span->parent_id = parent->span_id;
    agent_span->begin = wall_nanoseconds();
    agent_span->attributes.push_back({"task", task.name});
    executor_.start(
        std::move(task),
        [this, agent_span, done = std::move(done)](const start_record& record)
        {
            write_spans(*agent_span, record);
            done(record);
        });
}

void agent_service::write_spans(span& agent_span, const start_record& record)
{
    agent_span.end = wall_nanoseconds();
    agent_span.attributes.push_back(
        {"verdict", std::string(to_name(record.end.what))});
    agent_span.attributes.push_back(
        {"reason", std::string(to_name(record.end.why))});
    spans_->write(agent_span);
    // The backend server writes no spans, so the agent records one for its
    // call.
    span runner_span;
    runner_span.name = "runner";
    runner_span.context = agent_span.context.child();
    runner_span.parent_id = agent_span.context.span_id;
    runner_span.end = agent_span.end;
    runner_span.begin = agent_span.end - std::int64_t{record.run_micros} * 1000;
    spans_->write(runner_span);
}

void agent_service::complete_task(batch& batch, std::size_t index,
                                  const start_record& record)
{
    batch.task_records[index] = record;
    wait_seconds_.add(record.wait_micros * seconds_per_microsecond);
    if (record.end.what == verdict::ran)
        run_seconds_.add(record.run_micros * seconds_per_microsecond);
    if (--batch.pending == 0)
        batch.done->fulfill();
}

void agent_service::fill_reply(const batch& batch,
                               wire::StartReply::Builder reply) const
{
    auto out =
        reply.initResults(static_cast<unsigned>(batch.task_records.size()));
    for (std::size_t i = 0; i < batch.task_records.size(); ++i)
        fill_result(out[static_cast<unsigned>(i)], batch.keys[i],
                    batch.task_records[i]);
    fill_load(reply.initLoad());
    reply.getLoad().setReceived(*batch.received);
}

bool agent_service::is_entry_alive(std::uint64_t incarnation,
                                   duration liveness_window) const
{
    const auto last_heard = last_heard_.find(incarnation);
    if (last_heard == last_heard_.end())
        return false;
    // The death of a process closes its sessions. A VM that fails without
    // closing connections leaves them open, so the longer window applies.
    const bool has_session =
        std::any_of(sessions_.begin(), sessions_.end(),
                    [&](const auto& item)
                    { return item.first.incarnation == incarnation; });
    const auto limit = has_session ? liveness_window : reconnect_window;
    return clock_.now() - last_heard->second < limit;
}

void agent_service::fence(std::uint64_t incarnation, duration liveness_window,
                          wire::Agent::FenceResults::Builder results)
{
    if (!executor_.table().is_fenced(incarnation) &&
        is_entry_alive(incarnation, liveness_window))
    {
        ++stats_.fences_declined;
        results.setDeclined(true);
        return;
    }
    if (!executor_.table().is_fenced(incarnation))
    {
        ++stats_.fences;
        log_change(log_level::warning, "entry_fenced",
                   {{"incarnation", incarnation}});
    }
    executor_.fence(incarnation);
    const auto& table = executor_.table();
    const auto keys = table.keys_of(incarnation);
    auto out = results.initRecords(static_cast<unsigned>(keys.size()));
    std::uint32_t unfinished = 0;
    for (std::size_t i = 0; i < keys.size(); ++i)
    {
        const auto* record = table.find(incarnation, keys[i]);
        const bool done = record->at == start_record::stage::done;
        unfinished += done ? 0 : 1;
        start_record reported;
        if (done)
            reported = *record;
        else
            reported.end = {verdict::may_have_run, reason::entry_lost};
        reported.job = record->job;
        fill_result(out[static_cast<unsigned>(i)], keys[i], reported);
    }
    results.setUnfinished(unfinished);
}

void agent_service::tick(duration retention)
{
    const instant cutoff = clock_.now() - retention;
    std::erase_if(last_heard_,
                  [&](const auto& item) { return item.second < cutoff; });
}

void agent_service::collect(metric_page& page) const
{
    const auto load = executor_.load();
    const auto& done = executor_.stats();
    const auto& table = executor_.table();
    page.gauge("agent_slots",
               "Tasks that the backend server may run concurrently",
               static_cast<double>(load.slots));
    page.gauge("agent_running", "Tasks running at the backend server",
               static_cast<double>(load.running));
    page.gauge("agent_queued", "Tasks waiting for a slot",
               static_cast<double>(load.queued));
    page.gauge("agent_draining", "1 while new task starts are refused, else 0",
               load.draining ? 1 : 0);
    page.gauge("agent_records", "Records of task starts",
               static_cast<double>(table.size()));
    page.gauge("agent_record_bytes",
               "Estimated bytes of the records of task starts",
               static_cast<double>(table.bytes()));
    page.counter("agent_started_total", "Task calls sent to the backend server",
                 static_cast<double>(done.started));
    page.counter("agent_ends_total", "Ended tasks by verdict",
                 static_cast<double>(done.ran), R"(verdict="ran")");
    page.counter("agent_ends_total", "Ended tasks by verdict",
                 static_cast<double>(done.not_run), R"(verdict="not_run")");
    page.counter("agent_ends_total", "Ended tasks by verdict",
                 static_cast<double>(done.unknown),
                 R"(verdict="may_have_run")");
    page.counter("agent_messages_total", "RPC calls received by kind",
                 static_cast<double>(stats_.start_calls), R"(kind="start")");
    page.counter("agent_messages_total", "RPC calls received by kind",
                 static_cast<double>(stats_.pings), R"(kind="ping")");
    page.counter("agent_messages_total", "RPC calls received by kind",
                 static_cast<double>(stats_.hellos), R"(kind="hello")");
    page.gauge("configuration_version", "Version of the configuration in use",
               static_cast<double>(configuration_.version()));
    page.summary("agent_wait_seconds", "Queueing time of tasks in seconds",
                 wait_seconds_);
    page.summary("agent_run_seconds",
                 "Run time of tasks at the backend server in seconds",
                 run_seconds_);
}

} // namespace glenhollow
