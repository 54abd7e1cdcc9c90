#include "simulated_world.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

constexpr duration message_time = milliseconds{4};
constexpr duration work_time = milliseconds{300};
constexpr duration resend_window = milliseconds{500};
constexpr duration reconnect_time = milliseconds{200};
constexpr duration heard_within = milliseconds{600};
constexpr duration faults_until = seconds{4};
constexpr duration pause_time = seconds{3};
constexpr duration play_time = seconds{60};
constexpr duration caller_retry_delay = milliseconds{800};
constexpr int caller_attempts = 12;

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

/// A runner that executes, refuses or breaks off tasks. It survives its agent.
class simulated_world::sim_runner final : public runner_client
{
public:
    sim_runner(simulated_world& world, sim_agent& agent)
        : world_(world), agent_(agent)
    {
    }

    void call(runner_request call, handler done) override;

    void probe(std::function<void(bool)> done) override { done(true); }

    /// Whether its agent has ended; results are dropped then.
    bool dead = false;

private:
    void finish(handler done, verdict what, reason why, std::string body)
    {
        world_.at(
            world_.random_duration(work_time),
            [this, done = std::move(done), what, why, body = std::move(body)]
            {
                if (!dead)
                    done({{what, why}, body});
            });
    }

    simulated_world& world_;
    sim_agent& agent_;
};

/// An agent with its own clock.
struct simulated_world::sim_agent
{
    std::size_t number = 0;        ///< Number of the agent.
    std::uint64_t incarnation = 1; ///< Incarnation of the current process.
    manual_clock clock;
    std::unique_ptr<sim_runner> runner;
    std::unique_ptr<task_executor> executor;
    /// Runners of ended processes.
    std::vector<std::unique_ptr<sim_runner>> old_runners;
    /// Executors of ended processes.
    std::vector<std::unique_ptr<task_executor>> old_executors;
    /// Newest link generation, by entry incarnation.
    std::map<std::uint64_t, std::uint64_t> sessions;
    /// Last message, by entry incarnation.
    std::map<std::uint64_t, instant> heard;
    std::set<std::uint64_t> fenced; ///< Fenced entry incarnations.
    instant paused_until{}; ///< End of the pause, by the clock of entries.
};

void simulated_world::sim_runner::call(runner_request call, handler done)
{
    const auto id = submission_id::parse(
        std::string_view(call.task).substr(0, call.task.find('/')));
    if (agent_.fenced.contains(id->incarnation))
        world_.outcome_.violations.push_back(call.task +
                                             " started by a fenced entry");
    if (world_.chance(world_.settings_.refuse_share))
        return finish(std::move(done), verdict::not_run, reason::runner_refused,
                      "");
    // A broken connection may or may not have delivered the task.
    const bool breaks = world_.chance(world_.settings_.runner_break_share);
    if (!breaks || world_.chance(0.5))
        ++world_.starts_[call.task];
    finish(std::move(done), breaks ? verdict::may_have_run : verdict::ran,
           breaks ? reason::runner_broken : reason::none, call.payload);
}

/// One link with the semantics of agent_links.
struct simulated_world::sim_link
{
    sim_entry* entry = nullptr;
    sim_agent* agent = nullptr;
    runner_index index = 0;       ///< Index at the entry.
    bool up = false;              ///< Whether starts can be sent.
    std::uint64_t generation = 0; ///< Number of the connection.
    /// Incarnation of the agent; 0 before the first connect.
    std::uint64_t incarnation = 0;
    std::map<task_key, outgoing_start> outstanding; ///< Starts without an end.
    std::map<task_key, instant> begin_by; ///< Latest begin, by the agent clock.
    instant broken_since{};               ///< Time of the last break.
};

/// Sends starts over the links of an entry.
class simulated_world::sim_sender final : public start_sender
{
public:
    sim_sender(simulated_world& world, sim_entry& entry)
        : world_(world), entry_(entry)
    {
    }

    void send(runner_index runner, std::vector<outgoing_start> starts) override;
    void acknowledge(runner_index runner,
                     const std::vector<task_key>& keys) override;

private:
    simulated_world& world_;
    sim_entry& entry_;
};

/// An entry incarnation.
struct simulated_world::sim_entry
{
    std::uint64_t incarnation = 0;
    bool dead = false;                  ///< Whether it was killed.
    instant paused_until{};             ///< End of the pause.
    std::unique_ptr<sim_sender> sender; ///< Sender of its starts.
    std::unique_ptr<coordinator> jobs;  ///< Coordinator.
    std::vector<sim_link*> links;       ///< Links by runner index.
    bool wake_scheduled = false;        ///< Whether a tick is scheduled.
};

/// One caller's job.
struct simulated_world::sim_job
{
    std::size_t entry = 0;            ///< Entry that minted its id.
    std::uint64_t sequence = 0;       ///< Sequence number of its id.
    std::string id;                   ///< Submission id as text.
    job_request request;              ///< Submitted request.
    std::vector<std::string> answers; ///< Bodies of all answers.
    int attempts = 0;                 ///< Number of submissions.
    bool answered = false;            ///< Whether it has a final answer.
    bool refused = false;             ///< Whether it was refused.
};

simulated_world::simulated_world(const schedule_settings& settings)
    : settings_(settings), random_(settings.seed)
{
    for (std::size_t i = 0; i < settings_.agents; ++i)
    {
        agents_.push_back(std::make_unique<sim_agent>());
        agents_.back()->number = i;
        // All clocks differ.
        agents_.back()->clock.advance(seconds{100 * (i + 1)});
        restart_agent(*agents_.back());
    }
    for (std::size_t i = 0; i < settings_.entries; ++i)
        add_entry(i);
}

simulated_world::~simulated_world() = default;

void simulated_world::at(duration from_now, std::function<void()> work)
{
    events_.emplace(clock_.now() + from_now, std::move(work));
}

duration simulated_world::random_duration(duration most)
{
    return std::chrono::duration_cast<duration>(most * uniform(random_));
}

bool simulated_world::chance(double share)
{
    return uniform(random_) < share;
}

void simulated_world::add_entry(std::size_t number)
{
    auto made = std::make_unique<sim_entry>();
    auto& entry = *made;
    entry.incarnation = 1000 + number;
    entry.sender = std::make_unique<sim_sender>(*this, entry);
    coordinator_settings limits;
    limits.hall = "h";
    limits.entry = "e" + std::to_string(number);
    limits.ack_delay = milliseconds{700};
    limits.id_lifetime = seconds{20};
    limits.start_window = milliseconds{400};
    limits.ring_records = 16;
    limits.placement_strategy = static_cast<placement_kind>(random_() % 4);
    entry.jobs = std::make_unique<coordinator>(
        clock_, *entry.sender, entry.incarnation, limits, random_());
    entries_.push_back(std::move(made));
    for (auto& agent : agents_)
    {
        auto link = std::make_unique<sim_link>();
        link->entry = &entry;
        link->agent = agent.get();
        link->index = static_cast<runner_index>(entry.links.size());
        entry.links.push_back(link.get());
        links_.push_back(std::move(link));
        connect(*entry.links.back());
    }
}

void simulated_world::restart_agent(sim_agent& agent)
{
    if (agent.runner)
    {
        agent.runner->dead = true;
        agent.old_runners.push_back(std::move(agent.runner));
        agent.old_executors.push_back(std::move(agent.executor));
        for (auto& link : links_)
        {
            if (link->agent == &agent)
                break_link(*link);
        }
    }
    ++agent.incarnation;
    agent.sessions.clear();
    agent.heard.clear();
    agent.fenced.clear();
    agent.runner = std::make_unique<sim_runner>(*this, agent);
    task_executor_settings limits;
    limits.slots = 2;
    limits.max_queued = 2;
    // A small table fills in some schedules.
    limits.table.max_bytes = chance(0.2) ? 1200 : 1U << 20;
    limits.table.record_retention = seconds{40};
    agent.executor =
        std::make_unique<task_executor>(agent.clock, *agent.runner, limits);
}

/// Runs work of an entry after its pause, or never if it is dead.
void simulated_world::run_on(sim_entry& entry,
                             const std::function<void()>& work)
{
    if (entry.dead)
        return;
    if (entry.paused_until > clock_.now())
    {
        events_.emplace(entry.paused_until,
                        [this, &entry, work] { run_on(entry, work); });
        return;
    }
    work();
    entry.jobs->dispatch();
    schedule_wake(entry);
}

void simulated_world::schedule_wake(sim_entry& entry)
{
    const auto next = entry.jobs->next_wake();
    if (entry.wake_scheduled || !next)
        return;
    entry.wake_scheduled = true;
    const auto wait = std::max<duration>(*next - clock_.now(), milliseconds{1});
    at(wait,
       [this, &entry]
       {
           run_on(entry,
                  [&entry]
                  {
                      entry.wake_scheduled = false;
                      entry.jobs->tick();
                  });
       });
}

load_report simulated_world::load_of(const sim_link& link) const
{
    const auto load = link.agent->executor->load();
    load_report report;
    report.slots = static_cast<std::int32_t>(load.slots);
    report.busy = static_cast<std::int32_t>(load.running + load.queued);
    report.draining = load.draining;
    report.links = static_cast<std::int32_t>(settings_.entries);
    return report;
}

void simulated_world::connect(sim_link& link)
{
    const auto generation = ++link.generation;
    at(message_time + random_duration(reconnect_time),
       [this, &link, generation]
       {
           run_on(
               *link.entry,
               [this, &link, generation]
               {
                   const bool paused = link.agent->paused_until > clock_.now();
                   if (link.generation != generation)
                       return;
                   if (paused || chance(settings_.link_break_share))
                       return connect(link);
                   auto& agent = *link.agent;
                   agent.sessions[link.entry->incarnation] = generation;
                   agent.heard[link.entry->incarnation] = clock_.now();
                   link.up = true;
                   if (link.incarnation != 0 &&
                       link.incarnation != agent.incarnation)
                       fail_outstanding(link, reason::agent_restarted);
                   link.incarnation = agent.incarnation;
                   link.entry->jobs->link_up(link.index, true, load_of(link));
                   for (const auto& [key, start] : link.outstanding)
                   {
                       ++outcome_.resent_starts;
                       deliver(link, generation, start);
                   }
               });
       });
}

void simulated_world::break_link(sim_link& link)
{
    const bool was_up = std::exchange(link.up, false);
    link.broken_since = clock_.now();
    if (was_up && !link.entry->dead)
        link.entry->jobs->link_down(link.index);
    connect(link);
    const auto since = link.broken_since;
    at(resend_window,
       [this, &link, since]
       {
           run_on(*link.entry,
                  [this, &link, since]
                  {
                      if (!link.up && link.broken_since == since)
                          fail_outstanding(link, reason::link_broken);
                  });
       });
}

void simulated_world::fail_outstanding(sim_link& link, reason why)
{
    const auto lost = std::exchange(link.outstanding, {});
    for (const auto& [key, start] : lost)
    {
        task_end end;
        end.key = key;
        end.end = {verdict::may_have_run, why};
        link.entry->jobs->task_ended(link.index, std::move(end));
    }
}

void simulated_world::sim_sender::send(runner_index runner,
                                       std::vector<outgoing_start> starts)
{
    auto& link = *entry_.links[runner];
    for (auto& start : starts)
    {
        link.begin_by[start.key] = link.agent->clock.now() + start.begin_within;
        link.outstanding[start.key] = start;
        if (link.up)
            world_.deliver(link, link.generation, start);
    }
}

void simulated_world::sim_sender::acknowledge(runner_index runner,
                                              const std::vector<task_key>& keys)
{
    auto& link = *entry_.links[runner];
    if (!link.up)
        return;
    for (const auto& key : keys)
        link.agent->executor->table().acknowledge(entry_.incarnation, key);
}

/// Delivers a start to the agent: late, twice, or with a link that breaks
/// before or after the delivery.
void simulated_world::deliver(sim_link& link, std::uint64_t generation,
                              const outgoing_start& start)
{
    if (chance(settings_.link_break_share))
    {
        const bool arrives = chance(0.5);
        at(random_duration(message_time), [this, &link] { break_link(link); });
        if (!arrives)
            return;
    }
    auto& agent = *link.agent;
    const auto agent_incarnation = agent.incarnation;
    const instant begin_by = link.begin_by[start.key];
    const auto arrive =
        [this, &link, &agent, generation, agent_incarnation, start, begin_by]
    {
        if (agent.incarnation != agent_incarnation)
            return;
        const auto incarnation = link.entry->incarnation;
        agent.heard[incarnation] = clock_.now();
        const auto settle = [this, &link, generation,
                             key = start.key](const start_record& record)
        {
            task_end end;
            end.key = key;
            end.end = record.end;
            end.body = record.body;
            end.run_micros = 1000;
            answer(link, generation, std::move(end));
        };
        // As in the agent, a copy over a replaced link must not run.
        if (agent.sessions[incarnation] != generation)
        {
            start_record stale;
            stale.end = {verdict::not_run, reason::stale_link};
            return settle(stale);
        }
        task_start task;
        task.incarnation = incarnation;
        task.key = start.key;
        task.name = link.entry->jobs->id_text(start.key.sequence) + "/" +
                    std::to_string(start.key.task);
        task.begin_by = begin_by;
        task.payload = start.payload;
        task.job = {start.body_hash, start.job_tasks};
        agent.executor->start(std::move(task), settle);
    };
    const auto later = [this, &agent, arrive](duration wait)
    {
        at(wait,
           [this, &agent, arrive]
           {
               if (agent.paused_until > clock_.now())
                   events_.emplace(agent.paused_until, arrive);
               else
                   arrive();
           });
    };
    later(random_duration(message_time));
    // A replaced connection may deliver buffered starts late; a live connection
    // delivers each start once.
    if (!chance(settings_.link_break_share))
        return;
    at(random_duration(seconds{2}),
       [this, &link, &agent, generation, arrive]
       {
           const bool replaced =
               agent.sessions[link.entry->incarnation] != generation;
           if (replaced && agent.paused_until <= clock_.now())
               arrive();
       });
}

void simulated_world::answer(sim_link& link, std::uint64_t generation,
                             task_end end)
{
    at(random_duration(message_time),
       [this, &link, generation, end = std::move(end)]
       {
           run_on(*link.entry,
                  [this, &link, generation, end]
                  {
                      // Answers over an old connection are lost.
                      if (link.generation != generation || !link.up ||
                          link.outstanding.erase(end.key) == 0)
                          return;
                      link.entry->jobs->task_ended(link.index, end);
                      link.entry->jobs->report_load(link.index, load_of(link));
                  });
       });
}

void simulated_world::plan_faults()
{
    for (std::size_t i = 0; i < settings_.deaths; ++i)
    {
        const bool kill_entry = chance(0.5);
        const auto victim = random_();
        at(random_duration(faults_until),
           [this, kill_entry, victim]
           {
               if (kill_entry)
                   entries_[victim % settings_.entries]->dead = true;
               else
                   restart_agent(*agents_[victim % agents_.size()]);
           });
    }
    for (std::size_t i = 0; i < settings_.pauses; ++i)
    {
        const bool pause_entry = chance(0.5);
        const auto victim = random_();
        at(random_duration(faults_until),
           [this, pause_entry, victim]
           {
               const auto until = clock_.now() + random_duration(pause_time);
               if (pause_entry)
                   entries_[victim % settings_.entries]->paused_until = until;
               else
                   agents_[victim % agents_.size()]->paused_until = until;
           });
    }
}

void simulated_world::submit_to_owner(sim_job& job, sim_entry& owner)
{
    run_on(owner,
           [this, &job, &owner]
           {
               owner.jobs->submit(job.sequence, job.request, std::nullopt,
                                  [this, &job, &owner](const job_answer& got)
                                  {
                                      // Answers of a dead entry are lost.
                                      if (!owner.dead)
                                          record_answer(job, got);
                                  });
           });
}

void simulated_world::submit(sim_job& job, std::size_t entry)
{
    ++job.attempts;
    auto& owner = *entries_[job.entry];
    const bool asks_owner = entry == job.entry;
    if (asks_owner && !owner.dead)
    {
        submit_to_owner(job, owner);
    }
    else if (!asks_owner)
    {
        submit_elsewhere(job, entry);
    }
    if (job.attempts >= caller_attempts)
        return;
    // A caller without an answer resubmits, often to another entry.
    const auto next = chance(0.4) ? job.entry : random_() % settings_.entries;
    at(caller_retry_delay + random_duration(caller_retry_delay),
       [this, &job, next]
       {
           if (!job.answered || chance(0.2))
               submit(job, next);
       });
}

void simulated_world::submit_elsewhere(sim_job& job, std::size_t entry)
{
    if (entries_[entry]->dead || entries_[entry]->paused_until > clock_.now())
        return;
    auto& owner = *entries_[job.entry];
    const bool reachable = !owner.dead && owner.paused_until <= clock_.now();
    const auto adopted = adopted_.find(owner.incarnation);
    if (adopted != adopted_.end())
        return record_answer(
            job, adopted->second->answer(job.sequence, job.request.body_hash));
    if (reachable)
    {
        submit_to_owner(job, owner);
        return;
    }
    adopt(job, owner);
}

/// Fences an incarnation at all agents, unless one heard from it recently.
void simulated_world::adopt(sim_job& job, sim_entry& dead)
{
    for (const auto& agent : agents_)
    {
        const auto heard = agent->heard.find(dead.incarnation);
        const bool heard_recently = heard != agent->heard.end() &&
                                    clock_.now() - heard->second < heard_within;
        const bool paused = agent->paused_until > clock_.now();
        // Waits for running tasks; the caller resubmits.
        bool runs = false;
        const auto& table = agent->executor->table();
        for (const auto& key : table.keys_of(dead.incarnation))
            runs |= table.find(dead.incarnation, key)->at !=
                    start_record::stage::done;
        if (!paused && (heard_recently || runs))
            return;
    }
    auto answers = std::make_unique<adopted_answers>(
        "h", dead.jobs->settings().entry, dead.incarnation);
    for (const auto& agent : agents_)
    {
        if (agent->paused_until > clock_.now())
            continue;
        agent->executor->fence(dead.incarnation);
        agent->fenced.insert(dead.incarnation);
        const auto& table = agent->executor->table();
        std::vector<fenced_record> records;
        for (const auto& key : table.keys_of(dead.incarnation))
        {
            const auto* known = table.find(dead.incarnation, key);
            records.push_back({key, known->end, known->body,
                               known->job.body_hash, known->job.tasks});
        }
        answers->add(records);
    }
    ++outcome_.adoptions;
    const auto [known, fresh] =
        adopted_.emplace(dead.incarnation, std::move(answers));
    record_answer(job,
                  known->second->answer(job.sequence, job.request.body_hash));
}

void simulated_world::record_answer(sim_job& job, const job_answer& answer)
{
    if (answer.is_problem())
    {
        job.refused = true;
        return;
    }
    job.answered = true;
    job.answers.push_back(answer.body);
}

schedule_outcome simulated_world::play()
{
    for (std::size_t i = 0; i < settings_.jobs; ++i)
    {
        at(random_duration(faults_until),
           [this]
           {
               auto made = std::make_unique<sim_job>();
               auto& job = *made;
               job.entry = random_() % settings_.entries;
               auto& owner = *entries_[job.entry];
               if (owner.dead)
                   return;
               const auto id = owner.jobs->issue_id();
               job.sequence = id.sequence;
               job.id = id.to_string();
               const auto tasks = 1 + random_() % 6;
               job.request.team = "t";
               job.request.deadline = seconds{5};
               job.request.body_hash = random_();
               for (std::size_t t = 0; t < tasks; ++t)
                   job.request.payloads.push_back("\"" + job.id + "/" +
                                                  std::to_string(t) + "\"");
               jobs_.push_back(std::move(made));
               submit(job,
                      chance(0.8) ? job.entry : random_() % settings_.entries);
           });
    }
    plan_faults();
    const instant end = clock_.now() + play_time;
    while (!events_.empty() && events_.begin()->first <= end)
    {
        const auto event = events_.extract(events_.begin());
        const auto step =
            std::max<duration>(event.key() - clock_.now(), duration::zero());
        clock_.advance(step);
        for (auto& agent : agents_)
            agent->clock.advance(step);
        event.mapped()();
    }
    check();
    return outcome_;
}

void simulated_world::check()
{
    const auto report_violation = [this](const std::string& what)
    { outcome_.violations.push_back(what); };
    for (const auto& [task, count] : starts_)
    {
        if (count > 1)
            report_violation(task + " started " + std::to_string(count) +
                             " times");
    }
    for (const auto& job : jobs_)
    {
        std::size_t started = 0;
        for (std::size_t t = 0; t < job->request.payloads.size(); ++t)
            started +=
                starts_.contains(job->id + "/" + std::to_string(t)) ? 1 : 0;
        std::string whole = R"({"submission":")" + job->id +
                            R"(","state":"complete","results":[)";
        for (std::size_t t = 0; t < job->request.payloads.size(); ++t)
            whole += (t > 0 ? "," : "") + job->request.payloads[t];
        whole += "]}";
        bool complete = false;
        for (const auto& answer : job->answers)
        {
            if (has(answer, R"("state":"complete")") && answer != whole)
                report_violation("partial or crossed answer: " + answer);
            if (has(answer, R"("verdict":"not_run")") && started > 0)
                report_violation("said not_run but ran: " + answer);
            complete |= answer == whole;
        }
        if (complete && started != job->request.payloads.size())
            report_violation(job->id + " is complete without all its starts");
        outcome_.complete += complete ? 1 : 0;
        outcome_.failed += !complete && !job->answers.empty() ? 1 : 0;
        outcome_.refused += job->answers.empty() && job->refused ? 1 : 0;
        // A job that was only refused must not have run.
        if (job->answers.empty() && job->refused && started > 0 &&
            !entries_[job->entry]->dead)
            report_violation(job->id + " was only refused but ran");
    }
}

} // namespace glenhollow
