#include "soak/soak_deployment.hpp"

#include "glenhollow/core/run_after.hpp"
#include "platform/json_body.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <csignal>

namespace glenhollow::soak
{

namespace json = boost::json;

namespace
{

/// A planned stop that takes so much longer than its grace does not end; far
/// beyond what a busy machine adds.
constexpr duration stop_slack = seconds{10};
/// From a start until a process surely takes SIGTERM as a planned stop; a line
/// of its log says so earlier.
constexpr duration begin_time = seconds{1};
/// Of a series of stops: between two of them.
constexpr duration longest_run = milliseconds{700};
constexpr duration shortest_stop = milliseconds{50};
constexpr duration longest_stop = milliseconds{1500};
/// All faults of a process are told to the checker for so long at least, what
/// follows from them included.
constexpr duration peer_lost_time = seconds{4};

std::string told(const planned_fault& fault)
{
    const auto ms =
        std::chrono::duration_cast<milliseconds>(fault.lasts).count();
    return std::string(to_name(fault.kind)) + " " +
           std::to_string(fault.target) + " for " + std::to_string(ms) +
           " ms, share " + std::to_string(fault.share);
}

} // namespace

void soak_deployment::apply(const planned_fault& fault)
{
    if (fault.line.empty())
        return strike(fault);
    const auto wait = process_clock().now() + line_wait;
    watch_.await(log_of(fault), fault.line, wait,
                 [this, fault](bool came)
                 {
                     if (!came)
                         return tell_("left out, no " + fault.line + " for " +
                                      told(fault));
                     ++due_;
                     run_after(io_, fault.after,
                               [this, fault]
                               {
                                   --due_;
                                   tell_("after " + fault.line);
                                   strike(fault);
                               });
                 });
}

/// An entry's own, else that of the agent beside a backend server.
std::string soak_deployment::log_of(const planned_fault& fault) const
{
    switch (group_of(fault.kind))
    {
    case fault_group::agent:
    case fault_group::backend:
        return agents_[fault.target].child->log();
    case fault_group::entry:
        return entries_[fault.target].child->log();
    case fault_group::process:
        return fault.target < entries_.size()
                   ? entries_[fault.target].child->log()
                   : agents_[fault.target - entries_.size()].child->log();
    default:
        return entries_.front().child->log();
    }
}

void soak_deployment::strike(const planned_fault& fault)
{
    tell_("fault " + told(fault));
    ++struck_[fault.kind];
    note_touch(fault);
    switch (group_of(fault.kind))
    {
    case fault_group::link:
        return links_[fault.target]->harm(state_of(fault.kind), fault.lasts);
    case fault_group::peer:
    case fault_group::halls:
        return peers_->harm(fault);
    case fault_group::process:
        peers_->harm(fault);
        return store_link(fault.target).harm(link_state::cut, fault.lasts);
    case fault_group::all:
        return stall(fault);
    case fault_group::store:
        return turn(store_, fault);
    case fault_group::backend:
        if (fault.kind != fault_kind::backend_pause)
            return turn(backends_[fault.target], fault);
        return strike_process(backend(fault.target), fault);
    case fault_group::entry:
        return strike_process(entries_[fault.target], fault);
    case fault_group::agent:
        return strike_process(agents_[fault.target], fault);
    }
}

/// Who is not in touch meanwhile; entries come first, as in plans. What a fault
/// of an entry excuses is that entry alone: agents make the starts.
void soak_deployment::note_touch(const planned_fault& fault)
{
    const auto now = process_clock().now();
    const auto until = now + std::max(fault.lasts, peer_lost_time);
    switch (group_of(fault.kind))
    {
    case fault_group::store:
    case fault_group::all:
        return touch_.disturb_all(now, until);
    case fault_group::entry:
        return touch_.disturb(fault.target, now, until);
    case fault_group::agent:
    case fault_group::backend:
        return touch_.disturb(settings_.entries + fault.target, now, until);
    case fault_group::link:
        return touch_.disturb(fault.target < settings_.entries
                                  ? fault.target
                                  : settings_.entries +
                                        (fault.target - settings_.entries) / 2,
                              now, until);
    case fault_group::peer:
    case fault_group::process:
    case fault_group::halls:
        for (const auto one : peers_->touched(fault))
            touch_.disturb(one, now, until);
    }
}

faulty_link& soak_deployment::store_link(std::uint32_t process)
{
    return process < settings_.entries
               ? *links_[process]
               : *links_[settings_.entries + 2 * (process - settings_.entries)];
}

void soak_deployment::strike_process(managed& one, const planned_fault& fault)
{
    if (one.now != phase::up)
        return tell_("left out, " + one.name + " is not up");
    if (fault.kind == fault_kind::entry_kill ||
        fault.kind == fault_kind::agent_kill)
        kill(one, fault);
    else if (fault.kind == fault_kind::entry_pause ||
             fault.kind == fault_kind::agent_pause ||
             fault.kind == fault_kind::backend_pause)
        pause(one, fault.lasts);
    else if (fault.line.empty() &&
             process_clock().now() < one.started + begin_time)
        tell_("left out, " + one.name + " has just been started");
    else
        stop_one(one, fault.lasts);
}

/// The store goes on: it stands for a service on other machines.
void soak_deployment::stall(const planned_fault& fault)
{
    const auto until = process_clock().now() + fault.lasts;
    for (auto* group : {&standins_, &entries_, &agents_})
    {
        for (auto& one : *group)
        {
            if (&one == &standins_.front())
                continue;
            if (fault.kind == fault_kind::stall_all)
            {
                if (one.now == phase::up)
                    pause(one, fault.lasts);
            }
            else if (uniform(random_) < fault.share)
                stall_again(one, until);
        }
    }
}

duration soak_deployment::drawn_time(duration least, duration most)
{
    return least + std::chrono::duration_cast<duration>((most - least) *
                                                        uniform(random_));
}

/// One stop of a series, and later the next one.
void soak_deployment::stall_again(managed& one, instant until)
{
    if (process_clock().now() >= until)
        return;
    const auto stop = drawn_time(shortest_stop, longest_stop);
    if (one.now == phase::up)
        pause(one, stop);
    ++due_;
    run_after(io_, stop + drawn_time(shortest_stop, longest_run),
              [this, &one, until]
              {
                  --due_;
                  stall_again(one, until);
              });
}

/// The store comes first among the stand-ins.
soak_deployment::managed& soak_deployment::backend(std::uint32_t i)
{
    return standins_[1 + i];
}

void soak_deployment::kill(managed& one, const planned_fault& fault)
{
    one.child->kill();
    one.now = phase::down;
    one.disturbed.push_back(process_clock().now());
    run_after(io_, fault.lasts, [this, &one] { start(one); });
}

void soak_deployment::pause(managed& one, duration lasts)
{
    one.child->signal(SIGSTOP);
    one.now = phase::paused;
    one.disturbed.push_back(process_clock().now());
    run_after(io_, lasts,
              [&one]
              {
                  one.child->signal(SIGCONT);
                  one.now = phase::up;
                  one.disturbed.push_back(process_clock().now());
              });
}

void soak_deployment::stop_one(managed& one, duration away)
{
    one.now = phase::stopping;
    one.disturbed.push_back(process_clock().now());
    one.stop_by = process_clock().now() + settings_.grace + stop_slack;
    one.away = away;
    one.child->signal(SIGTERM);
}

void soak_deployment::turn(knobs& at, const planned_fault& fault)
{
    at.active.push_back(fault);
    const auto place = std::prev(at.active.end());
    send_knobs(at, fault.kind == fault_kind::backend_crash,
               fault.kind == fault_kind::store_forget);
    run_after(io_, fault.lasts,
              [this, &at, place]
              {
                  at.active.erase(place);
                  send_knobs(at, false, false);
              });
}

json::object soak_deployment::knobs_for(const knobs& at) const
{
    auto body = knobs_of(at.active);
    if (&at != &store_ && settings_.twice > 0)
        body["twice"] = settings_.twice;
    return body;
}

void soak_deployment::send_knobs(knobs& at, bool crash, bool forget)
{
    auto body = knobs_for(at);
    body["crash"] = crash;
    body["forget"] = forget;
    at.control->send(platform::post_request("/fault", json::serialize(body)),
                     [this](const http_result& got)
                     {
                         if (!got.answered)
                             checker_.broken("SOAK", "a knob was not turned: " +
                                                         got.error);
                     });
}

} // namespace glenhollow::soak
