// Membership of an entry: the known processes of the deployment and the agents
// with a session.
#include "glenhollow/durable/durable_service.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <utility>

namespace glenhollow
{

void durable_service::apply_member_row(const stored_row& row)
{
    if (row.key.key == settings_.entry)
        return;
    if (row.gone)
    {
        member_addresses_.erase(row.key.key);
        directory_.erase(row.key.key);
        entries_.erase(row.key.key);
        return;
    }
    const auto member = decode_member(row);
    if (!member)
    {
        log_change(log_level::error, "member_row_invalid",
                   {{"cause", member.error().text}});
        return;
    }
    const auto& known = member.value();
    const auto where = known.where.to_string();
    // Only a new address is logged; the memo may change often.
    if (std::exchange(member_addresses_[known.name], where) != where)
        log_change(log_level::info, "member_discovered",
                   {{"name", known.name},
                    {"role", to_name(known.role)},
                    {"where", where},
                    {"version", row.version}});
    if (known.role == member_role::agent)
        return directory_.set(known.name, known.where);
    entries_.insert(known.name);
    max_entry_millicores_ = std::max(max_entry_millicores_, known.millicores);
    peers_.add(known.name, known.where);
}

/// Every agent needs a session while there are open journalled jobs, since any
/// agent may run their tasks, or while a required label has not been found.
session_demand durable_service::required_sessions() const
{
    session_demand needs;
    needs.sample = handover_.sampled_agents();
    needs.sample_revision = handover_.sample_revision();
    needs.every_agent = ownership_.open_jobs() > 0 || handover_.lacks_label();
    needs.in_use = [this](const std::string& agent)
    { return memory_.open_jobs() > 0 || handover_.is_linked_host(agent); };
    return needs;
}

void durable_service::update_sessions()
{
    const auto changes =
        scope_.update(directory_, required_sessions(), clock_.now());
    for (const auto& agent : changes.open)
        agents_.add(agent, directory_.agents().at(agent));
    for (const auto& agent : changes.end)
    {
        agents_.remove(agent);
        dispatcher_.forget(agent);
    }
}

/// @return Whether the agent has been silent for less than the time after which
/// its runs have ended.
bool durable_service::is_live(const std::string& agent) const
{
    const auto known = agent_silence_.find(agent);
    return known != agent_silence_.end() &&
           clock_.now() - known->second.since <=
               settings_.ownership.jobs.agent_timeout;
}

std::set<std::string> durable_service::possible_agents() const
{
    std::set<std::string> names;
    for (const auto& [name, where] : directory_.agents())
        names.insert(name);
    return names;
}

} // namespace glenhollow
