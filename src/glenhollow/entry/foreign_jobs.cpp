#include "glenhollow/entry/foreign_jobs.hpp"

#include "glenhollow/core/run_after.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace
{

api_problem unreachable(const submission_id& id)
{
    return {503, reason::entry_unreachable,
            "entry " + id.entry +
                " has the submission and cannot be reached; it may have run; "
                "ask again",
            verdict::may_have_run, seconds{1}};
}

} // namespace

/// What is known of one incarnation of another entry.
struct foreign_jobs::incarnation_state
{
    incarnation_state(const std::string& hall, const std::string& entry,
                      std::uint64_t number)
        : incarnation(number), entry(entry), answers(hall, entry, number)
    {
    }

    /// A request that waits for the adoption.
    struct waiting_request
    {
        request asked;    ///< The request.
        answer_sink done; ///< Whom to tell.
    };

    std::uint64_t incarnation;            ///< Which.
    std::string entry;                    ///< Whose.
    adopted_answers answers;              ///< What can be answered.
    bool adopted = false;                 ///< Its agents were fenced.
    bool ready = false;                   ///< Adopted or handed over.
    std::vector<waiting_request> waiting; ///< For the adoption.
    std::vector<member> to_ask;           ///< Agents in the next round.
    std::size_t open = 0;                 ///< Agents not yet answered.
    bool declined = false;                ///< By one in this round.
    std::vector<member> ask_again;        ///< Tasks still run there.
    std::size_t unreached = 0;            ///< Agents that gave no answer.
    instant since{};                      ///< When it began or was ready.
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
                                     const request& asked) const
{
    std::optional<std::uint64_t> hash;
    if (asked.body)
        hash = hash_body(*asked.body);
    return state.answers.answer(asked.id.sequence, hash);
}

void foreign_jobs::resolve(request asked, answer_sink done)
{
    const auto known = incarnations_.find(asked.id.incarnation);
    if (known != incarnations_.end() && known->second->ready)
        return done(answer_from(*known->second, asked));
    const auto* report = peers_.report_of(asked.id.entry);
    if (report && report->incarnation == asked.id.incarnation)
    {
        const auto to = asked.id.entry;
        return forward(to, std::move(asked), false, std::move(done));
    }
    if (asked.adopt)
        return adopt(std::move(asked), std::move(done));
    find_holder(std::move(asked), std::move(done));
}

void foreign_jobs::forward(const std::string& to, request asked, bool adopt,
                           answer_sink done)
{
    ++forwarded_;
    const auto id = asked.id;
    auto told = [id, done = std::move(done)](std::optional<job_answer> answer)
    { done(answer ? std::move(*answer) : unreachable(id).to_answer()); };
    if (asked.body)
        peers_.submit(to, id.to_string(), *asked.body, asked.traceparent, adopt,
                      std::move(told));
    else
        peers_.lookup(to, id.to_string(), adopt, std::move(told));
}

void foreign_jobs::find_holder(request asked, answer_sink done)
{
    const auto heir = heirs_.find(asked.id.incarnation);
    if (heir != heirs_.end() && peers_.report_of(heir->second))
    {
        const auto to = heir->second;
        return forward(to, std::move(asked), true, std::move(done));
    }
    // An heir that was named before we came is found by asking around.
    const auto others = peers_.reachable();
    if (others.empty())
        return choose_adopter(std::move(asked), std::move(done));
    struct search
    {
        request asked;
        answer_sink done;
        std::size_t open;
        bool found = false;
    };
    auto state = std::make_shared<search>(
        search{std::move(asked), std::move(done), others.size()});
    for (const auto& name : others)
    {
        peers_.holds(name, state->asked.id.incarnation,
                     [this, state, name](bool held)
                     {
                         --state->open;
                         if (state->found)
                             return;
                         if (held)
                         {
                             state->found = true;
                             heirs_[state->asked.id.incarnation] = name;
                             return forward(name, std::move(state->asked), true,
                                            std::move(state->done));
                         }
                         if (state->open == 0)
                             choose_adopter(std::move(state->asked),
                                            std::move(state->done));
                     });
    }
}

void foreign_jobs::choose_adopter(request asked, answer_sink done)
{
    // All entries rank alike, so that one of them adopts and all agree on the
    // answers.
    auto candidates = peers_.reachable();
    candidates.push_back(settings_.entry);
    const auto ranked = rendezvous_order(std::to_string(asked.id.incarnation),
                                         std::move(candidates));
    if (ranked.front() == settings_.entry)
        return adopt(std::move(asked), std::move(done));
    forward(ranked.front(), std::move(asked), true, std::move(done));
}

void foreign_jobs::adopt(request asked, answer_sink done)
{
    auto& known = incarnations_[asked.id.incarnation];
    const bool fresh = !known;
    if (fresh)
    {
        known = std::make_shared<incarnation_state>(
            asked.id.hall, asked.id.entry, asked.id.incarnation);
        known->since = clock_.now();
    }
    const auto state = known;
    state->waiting.push_back({std::move(asked), std::move(done)});
    if (!fresh)
        return;
    state->to_ask = agents_of(state->waiting.front().asked.id);
    fence_all(state);
}

std::vector<member> foreign_jobs::agents_of(const submission_id& id) const
{
    auto runners = members_.with_role(member_role::runner);
    if (runners.size() <= settings_.ask_all)
        return runners;
    // In a large system only the agents are asked that the entry can have had
    // links to; twice as many as now, since members have come and gone.
    auto entries = members_.with_role(member_role::entry);
    if (!members_.find(id.entry))
        entries.push_back(
            {id.entry, member_role::entry, id.hall, {}, member_state::leaving});
    auto wide = settings_.subset;
    wide.own_hall *= 2;
    wide.other_halls *= 2;
    return link_subset(id.entry, entries, runners, wide);
}

void foreign_jobs::fence_all(const std::shared_ptr<incarnation_state>& state)
{
    auto agents = std::exchange(state->to_ask, {});
    state->open = agents.size();
    state->declined = false;
    state->ask_again.clear();
    if (agents.empty())
        return fenced_all(state);
    for (const auto& agent : agents)
    {
        agents_.fence(agent, state->incarnation,
                      [this, state, agent](const fence_answer& answer)
                      {
                          if (!answer.reached)
                              ++state->unreached;
                          if (answer.declined)
                              state->declined = true;
                          if (answer.declined || answer.unfinished > 0)
                              state->ask_again.push_back(agent);
                          state->answers.add(answer.records);
                          if (--state->open == 0)
                              fenced_all(state);
                      });
    }
}

void foreign_jobs::fenced_all(const std::shared_ptr<incarnation_state>& state)
{
    const auto waited = clock_.now() - state->since;
    if (state->declined && waited > settings_.longest_decline)
        return give_up(state);
    const bool ask_again = !state->ask_again.empty() &&
                           (state->declined || waited < settings_.longest_wait);
    if (ask_again)
    {
        state->to_ask = state->ask_again;
        const auto pause =
            state->declined ? settings_.retry_decline : settings_.ask_again;
        return run_after(io_, pause, [this, state] { fence_all(state); });
    }
    state->ready = state->adopted = true;
    state->since = clock_.now();
    ++adoptions_;
    const adoption_report report{state->entry, state->incarnation,
                                 state->answers.jobs(),
                                 state->answers.whole_jobs(), state->unreached};
    log_change(log_level::warning, "entry_adopted",
               {{"entry", report.entry},
                {"jobs", report.jobs},
                {"whole", report.whole},
                {"agents_unreached", report.unreached}});
    if (adopted_)
        adopted_(report);
    answer_waiting(state);
}

void foreign_jobs::answer_waiting(
    const std::shared_ptr<incarnation_state>& state)
{
    const auto waiting = std::exchange(state->waiting, {});
    for (const auto& one : waiting)
        one.done(answer_from(*state, one.asked));
}

void foreign_jobs::give_up(const std::shared_ptr<incarnation_state>& state)
{
    // An agent still hears from it: it lives, only we cannot reach it.
    ++declined_;
    incarnations_.erase(state->incarnation);
    const auto waiting = std::exchange(state->waiting, {});
    for (const auto& one : waiting)
        one.done(unreachable(one.asked.id).to_answer());
}

void foreign_jobs::keep(const std::string& entry, const std::string& hall,
                        std::uint64_t incarnation,
                        const std::vector<coordinator::kept_answer>& answers)
{
    auto& known = incarnations_[incarnation];
    if (!known)
        known = std::make_shared<incarnation_state>(hall, entry, incarnation);
    // What was answered for an adopted incarnation stays as it was, also when
    // the entry wakes and hands over what it thinks.
    if (known->adopted)
        return;
    known->answers.keep(answers);
    known->ready = true;
    known->since = clock_.now();
    answer_waiting(known);
}

bool foreign_jobs::holds(std::uint64_t incarnation) const
{
    return incarnations_.contains(incarnation);
}

void foreign_jobs::note_report(const std::string&, const peer_report& report)
{
    if (report.stopping && !report.heir.empty())
        heirs_[report.incarnation] = report.heir;
}

void foreign_jobs::tick()
{
    const instant oldest = clock_.now() - settings_.keep_for;
    std::erase_if(incarnations_, [&](const auto& one)
                  { return one.second->ready && one.second->since < oldest; });
    // Heirs are few; they are dropped in bulk once they are many.
    constexpr std::size_t most_heirs = 10'000;
    if (heirs_.size() > most_heirs)
        heirs_.clear();
}

void foreign_jobs::collect(metric_page& page) const
{
    page.counter("adoptions_total", "Incarnations of other entries adopted",
                 static_cast<double>(adoptions_));
    page.counter("adoptions_declined_total",
                 "Adoptions given up because the entry is alive",
                 static_cast<double>(declined_));
    page.counter("forwarded_total", "Requests sent on to other entries",
                 static_cast<double>(forwarded_));
    page.gauge("incarnations_held", "Incarnations whose answers are here",
               static_cast<double>(incarnations_.size()));
}

} // namespace glenhollow
