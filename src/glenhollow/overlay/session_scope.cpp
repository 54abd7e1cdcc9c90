#include "glenhollow/overlay/session_scope.hpp"

namespace glenhollow
{

namespace
{

bool is_needed(const std::string& agent, const session_demand& demand,
               bool every_agent)
{
    return every_agent || demand.sample->contains(agent);
}

} // namespace

session_scope::changes session_scope::update(const agent_directory& directory,
                                             const session_demand& demand,
                                             instant now)
{
    const bool every_agent = demand.sample == nullptr || demand.every_agent;
    const update_inputs inputs{directory.revision(), demand.sample_revision,
                               every_agent};
    changes out;
    if (last_inputs_ == inputs && !lingering_)
        return out;
    last_inputs_ = inputs;
    open_needed(directory, demand, every_agent, out);
    end_unneeded(directory, demand, every_agent, now, out);
    return out;
}

void session_scope::open_needed(const agent_directory& directory,
                                const session_demand& demand, bool every_agent,
                                changes& out)
{
    for (const auto& [agent, address] : directory.agents())
    {
        const auto found = sessions_.find(agent);
        const bool moved =
            found != sessions_.end() && found->second.address != address;
        const bool is_new =
            found == sessions_.end() && is_needed(agent, demand, every_agent);
        if (!moved && !is_new)
            continue;
        sessions_[agent].address = address;
        out.open.push_back(agent);
    }
}

void session_scope::end_unneeded(const agent_directory& directory,
                                 const session_demand& demand, bool every_agent,
                                 instant now, changes& out)
{
    lingering_ = false;
    for (auto at = sessions_.begin(); at != sessions_.end();)
    {
        const auto current = at++;
        auto& [agent, session] = *current;
        const bool gone = !directory.agents().contains(agent);
        if (!gone && is_needed(agent, demand, every_agent))
        {
            session.unneeded_since.reset();
            continue;
        }
        if (!session.unneeded_since)
            session.unneeded_since = now;
        const bool lingered = now - *session.unneeded_since >= settings_.linger;
        if (!gone && (!lingered || demand.in_use(agent)))
        {
            lingering_ = true;
            continue;
        }
        out.end.push_back(agent);
        sessions_.erase(current);
    }
}

} // namespace glenhollow
