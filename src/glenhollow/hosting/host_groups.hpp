#ifndef GLENHOLLOW_HOSTING_HOST_GROUPS_HPP
#define GLENHOLLOW_HOSTING_HOST_GROUPS_HPP

#include "glenhollow/durable/durable_job.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Agents that one of them places at, as the host of whole jobs.
struct host_group
{
    std::vector<std::string> agents; ///< Their names, in the group's order.
};

/// Divides agents into groups of about the same size, alike at all entries that
/// know the same agents: they stand in the order of a hash of their names,
/// which is cut into equal pieces. One agent more or less moves at most one
/// agent across each cut.
/// @param agents Their names, in any order.
/// @param size Agents of one group, about; at least 1.
/// @return The groups; none where there is no agent.
std::vector<host_group> divide_agents(std::vector<std::string> agents,
                                      std::size_t size);

/// Draws the groups that one entry hands jobs to. Each entry draws by its own
/// name, so that all groups get about as many entries, and a draw names a
/// place in the order of the agents, so that one agent more or less changes
/// few of the drawn agents.
/// @param entry Name of the entry.
/// @param groups How many there are.
/// @param wanted How many to draw.
/// @return Their indices, rising; all groups where no more are there.
std::vector<std::size_t> sample_groups(const std::string& entry,
                                       std::size_t groups,
                                       std::size_t target_count);

/// Chooses the agent whose process hosts the jobs of its group: the first in an
/// order of the group's own, so that all entries choose alike from like views.
/// Where views differ two hosts may place at the same agents for a while, which
/// costs room but breaks no promise, since agents guard their own room.
/// @param group Its agents.
/// @param able Whether an agent's process could be the host now.
/// @return The host's name; empty where no agent is able.
std::string
choose_host(const host_group& group,
            const std::function<bool(const std::string&)>& is_eligible);

/// A host that could take a job.
struct host_choice
{
    std::string host;  ///< Its name.
    double weight = 0; ///< Share of the jobs that it should get; 0: none.
};

/// Draws one host for a job by the hosts' weights. The draw follows from the
/// job's id: a job that is sent again while weights are alike comes to the same
/// host, which knows it, whichever entry its caller meets (weighted rendezvous
/// hashing).
/// @param job The job.
/// @param choices Hosts.
/// @return Index of the host, or the number of choices where all weigh nothing.
std::size_t draw_host(job_id job, const std::vector<host_choice>& choices);

} // namespace glenhollow

#endif
