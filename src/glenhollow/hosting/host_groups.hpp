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

/// A group of agents that share one job host.
struct host_group
{
    std::vector<std::string> agents; ///< Agent names, in the group's order.
};

/// Divides agents into groups of about equal size. The agents are ordered by a
/// hash of their names and cut into equal pieces, so every entry that knows the
/// same agents gets the same groups. Adding or removing one agent moves at most
/// one agent across each cut.
/// @param agents Agent names, in any order.
/// @param size Target number of agents per group; at least 1.
/// @return The groups; empty if there are no agents.
std::vector<host_group> divide_agents(std::vector<std::string> agents,
                                      std::size_t size);

/// Samples the groups to which one entry hands jobs. The sample is seeded with
/// the entry's name, so groups get about the same number of entries each. A
/// draw is a relative position among the groups, so adding or removing one
/// agent changes few of the sampled agents.
/// @param entry Name of the entry.
/// @param groups Number of groups.
/// @param target_count Number of groups to sample.
/// @return Indices of the sampled groups in ascending order; all groups if
/// there are no more than `target_count`.
std::vector<std::size_t> sample_groups(const std::string& entry,
                                       std::size_t groups,
                                       std::size_t target_count);

/// Chooses the agent whose process hosts the group's jobs: the eligible agent
/// with the lowest hash, so entries with the same view choose the same host.
/// While views differ, two hosts may place at the same agents; this can lower
/// utilization, but agents still enforce their own capacity.
/// @param group Group to choose from.
/// @param is_eligible Whether an agent's process could be the host now.
/// @return Name of the host; empty if no agent is eligible.
std::string
choose_host(const host_group& group,
            const std::function<bool(const std::string&)>& is_eligible);

/// A candidate host for a job.
struct host_choice
{
    std::string host;  ///< Name of the host.
    double weight = 0; ///< Relative share of the jobs; 0 excludes the host.
};

/// Draws a host for a job by weighted rendezvous hashing. The draw depends only
/// on the job id and the weights: a resubmitted job reaches the host that
/// already has it, whichever entry receives it, as long as weights are similar.
/// @param job Job to place.
/// @param choices Candidate hosts.
/// @return Index of the host, or `choices.size()` if all weights are 0.
std::size_t draw_host(job_id job, const std::vector<host_choice>& choices);

} // namespace glenhollow

#endif
