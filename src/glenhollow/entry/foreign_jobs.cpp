#include "glenhollow/entry/foreign_jobs.hpp"

#include "glenhollow/core/run_after.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

api_problem entry_unreachable_problem(const submission_id& id)
{
    return {503, reason::entry_unreachable,
            "entry " + id.entry +
                " has the submission and cannot be reached; it may have run; "
                "ask again",
            verdict::may_have_run, seconds{1}};
}

} // namespace

/// State of one incarnation of another entry.
struct foreign_jobs::incarnation_state
{
    incarnation_state(const std::string& hall, const std::string& entry,
                      std::uint64_t number)
        : incarnation(number), entry(entry), answers(hall, entry, number)
    {
    }

    /// A request that waits for an adoption.
    struct waiting_request
    {
        request incoming;
        answer_callback done; ///< Called with the answer.
    };

    std::uint64_t incarnation;
    std::string entry;                    ///< Name of the entry.
    adopted_answers answers;              ///< Answers held for the entry.
    bool adopted = false;                 ///< All its agents were fenced.
    bool ready = false;                   ///< Adopted or handed over.
    std::vector<waiting_request> waiting; ///< Answered after the adoption.
    std::vector<member> agents_to_fence;  ///< Agents of the next round.
    std::size_t pending_replies = 0;     ///< Replies outstanding in this round.
    bool declined = false;               ///< An agent of this round declined.
    std::vector<member> agents_to_retry; ///< Agents to fence again.
    std::size_t unreachable_agents = 0;  ///< Agents that did not answer.
    instant since{}; ///< Begin of the adoption, or time of readiness.
};

foreign_jobs::foreign_jobs(boost::asio::io_context& io,
                           const clock_source& clock, peer_links& peers,
                           agent_control& agents, const membership& members,
                           const foreign_jobs_settings& settings)
    : io_(io), clock_(clock), peers_(peers), agents_(agents), members_(members),
      settings_(settings)
{
}

foreign_jobs::~foreign_jobs() = default;

job_answer foreign_jobs::answer_from(const incarnation_state& state,
                                     const request& incoming) const
{
    std::optional<std::uint64_t> hash;
    if (incoming.body)
        hash = hash_body(*incoming.body);
    return state.answers.answer(incoming.id.sequence, hash);
}

void foreign_jobs::resolve(request incoming, answer_callback done)
{
    const auto known = incarnations_.find(incoming.id.incarnation);
    if (known != incarnations_.end() && known->second->ready)
        return done(answer_from(*known->second, incoming));
    const auto* report = peers_.report_of(incoming.id.entry);
    if (report && report->incarnation == incoming.id.incarnation)
    {
        const auto to = incoming.id.entry;
        return forward(to, std::move(incoming), false, std::move(done));
    }
    if (incoming.adopt)
        return adopt(std::move(incoming), std::move(done));
    find_holder(std::move(incoming), std::move(done));
}

void foreign_jobs::forward(const std::string& to, request incoming, bool adopt,
                           answer_callback done)
{
    ++forwarded_;
    const auto id = incoming.id;
    auto on_answer =
        [id, done = std::move(done)](std::optional<job_answer> answer)
    {
        done(answer ? std::move(*answer)
                    : entry_unreachable_problem(id).to_answer());
    };
    if (incoming.body)
        peers_.submit(to, id.to_string(), *incoming.body, incoming.traceparent,
                      adopt, std::move(on_answer));
    else
        peers_.lookup(to, id.to_string(), adopt, std::move(on_answer));
}

void foreign_jobs::find_holder(request incoming, answer_callback done)
{
    const auto holder = holders_.find(incoming.id.incarnation);
    if (holder != holders_.end() && peers_.report_of(holder->second))
    {
        const auto to = holder->second;
        return forward(to, std::move(incoming), true, std::move(done));
    }
    // The holder may have been announced before this entry started, so all
    // peers are asked.
    const auto others = peers_.reachable();
    if (others.empty())
        return choose_adopter(std::move(incoming), std::move(done));
    struct search
    {
        request incoming;
        answer_callback done;
        std::size_t pending_replies;
        bool found = false;
    };
    auto state = std::make_shared<search>(
        search{std::move(incoming), std::move(done), others.size()});
    for (const auto& name : others)
    {
        peers_.holds(name, state->incoming.id.incarnation,
                     [this, state, name](bool held)
                     {
                         --state->pending_replies;
                         if (state->found)
                             return;
                         if (held)
                         {
                             state->found = true;
                             holders_[state->incoming.id.incarnation] = name;
                             return forward(name, std::move(state->incoming),
                                            true, std::move(state->done));
                         }
                         if (state->pending_replies == 0)
                             choose_adopter(std::move(state->incoming),
                                            std::move(state->done));
                     });
    }
}

void foreign_jobs::choose_adopter(request incoming, answer_callback done)
{
    // All entries use the same ranking, so that a single one adopts.
    auto candidates = peers_.reachable();
    candidates.push_back(settings_.entry);
    const auto ranked = rendezvous_order(
        std::to_string(incoming.id.incarnation), std::move(candidates));
    if (ranked.front() == settings_.entry)
        return adopt(std::move(incoming), std::move(done));
    forward(ranked.front(), std::move(incoming), true, std::move(done));
}

void foreign_jobs::adopt(request incoming, answer_callback done)
{
    auto& known = incarnations_[incoming.id.incarnation];
    const bool is_new = !known;
    if (is_new)
    {
        known = std::make_shared<incarnation_state>(
            incoming.id.hall, incoming.id.entry, incoming.id.incarnation);
        known->since = clock_.now();
    }
    const auto state = known;
    state->waiting.push_back({std::move(incoming), std::move(done)});
    if (!is_new)
        return;
    state->agents_to_fence = agents_of(state->waiting.front().incoming.id);
    run_fence_round(state);
}

std::vector<member> foreign_jobs::agents_of(const submission_id& id) const
{
    auto runners = members_.with_role(member_role::runner);
    if (runners.size() <= settings_.max_agents_without_subset)
        return runners;
    // Large systems fence only the agents that the entry may have been linked
    // to. The subset is doubled, because members may have changed since.
    auto entries = members_.with_role(member_role::entry);
    if (!members_.find(id.entry))
        entries.push_back(
            {id.entry, member_role::entry, id.hall, {}, member_state::leaving});
    auto widened_subset = settings_.subset;
    widened_subset.own_hall *= 2;
    widened_subset.other_halls *= 2;
    return link_subset(id.entry, entries, runners, widened_subset);
}

void foreign_jobs::run_fence_round(
    const std::shared_ptr<incarnation_state>& state)
{
    auto agents = std::exchange(state->agents_to_fence, {});
    state->pending_replies = agents.size();
    state->declined = false;
    state->agents_to_retry.clear();
    if (agents.empty())
        return finish_fence_round(state);
    for (const auto& agent : agents)
    {
        agents_.fence(agent, state->incarnation,
                      [this, state, agent](const fence_reply& answer)
                      {
                          if (!answer.answered)
                              ++state->unreachable_agents;
                          if (answer.declined)
                              state->declined = true;
                          if (answer.declined || answer.unfinished > 0)
                              state->agents_to_retry.push_back(agent);
                          state->answers.add(answer.records);
                          if (--state->pending_replies == 0)
                              finish_fence_round(state);
                      });
    }
}

void foreign_jobs::finish_fence_round(
    const std::shared_ptr<incarnation_state>& state)
{
    const auto waited = clock_.now() - state->since;
    if (state->declined && waited > settings_.decline_timeout)
        return decline_adoption(state);
    const bool retry =
        !state->agents_to_retry.empty() &&
        (state->declined || waited < settings_.max_unfinished_wait);
    if (retry)
    {
        state->agents_to_fence = state->agents_to_retry;
        const auto pause = state->declined ? settings_.decline_retry_interval
                                           : settings_.unfinished_poll_interval;
        return run_after(io_, pause, [this, state] { run_fence_round(state); });
    }
    state->ready = state->adopted = true;
    state->since = clock_.now();
    ++adoptions_;
    const adoption_report report{
        state->entry, state->incarnation, state->answers.jobs(),
        state->answers.complete_jobs(), state->unreachable_agents};
    log_change(log_level::warning, "entry_adopted",
               {{"entry", report.entry},
                {"jobs", report.jobs},
                {"whole", report.complete_jobs},
                {"unreachable_agents", report.unreachable_agents}});
    if (adopted_)
        adopted_(report);
    answer_waiting_requests(state);
}

void foreign_jobs::answer_waiting_requests(
    const std::shared_ptr<incarnation_state>& state)
{
    const auto waiting = std::exchange(state->waiting, {});
    for (const auto& one : waiting)
        one.done(answer_from(*state, one.incoming));
}

void foreign_jobs::decline_adoption(
    const std::shared_ptr<incarnation_state>& state)
{
    // An agent still hears from the entry: it is alive, but not reachable from
    // here.
    ++declined_adoptions_;
    incarnations_.erase(state->incarnation);
    const auto waiting = std::exchange(state->waiting, {});
    for (const auto& one : waiting)
        one.done(entry_unreachable_problem(one.incoming.id).to_answer());
}

void foreign_jobs::keep(const std::string& entry, const std::string& hall,
                        std::uint64_t incarnation,
                        const std::vector<coordinator::kept_answer>& answers)
{
    auto& known = incarnations_[incarnation];
    if (!known)
        known = std::make_shared<incarnation_state>(hall, entry, incarnation);
    // Answers given after an adoption are final, even if the entry recovers and
    // hands over other ones.
    if (known->adopted)
        return;
    known->answers.add_kept_answers(answers);
    known->ready = true;
    known->since = clock_.now();
    answer_waiting_requests(known);
}

bool foreign_jobs::holds(std::uint64_t incarnation) const
{
    return incarnations_.contains(incarnation);
}

void foreign_jobs::on_peer_report(const std::string&, const peer_report& report)
{
    if (report.stopping && !report.holder.empty())
        holders_[report.incarnation] = report.holder;
}

void foreign_jobs::tick()
{
    const instant oldest = clock_.now() - settings_.answer_retention;
    std::erase_if(incarnations_, [&](const auto& one)
                  { return one.second->ready && one.second->since < oldest; });
    // The map is only a cache of known holders, so it is cleared when full.
    constexpr std::size_t max_holders = 10'000;
    if (holders_.size() > max_holders)
        holders_.clear();
}

void foreign_jobs::collect(metric_page& page) const
{
    page.counter("adoptions_total", "Adopted incarnations of other entries",
                 static_cast<double>(adoptions_));
    page.counter("adoptions_declined_total",
                 "Adoptions abandoned because the entry is alive",
                 static_cast<double>(declined_adoptions_));
    page.counter("forwarded_total", "Requests forwarded to other entries",
                 static_cast<double>(forwarded_));
    page.gauge("incarnations_held",
               "Incarnations of other entries whose answers are held",
               static_cast<double>(incarnations_.size()));
}

} // namespace glenhollow
