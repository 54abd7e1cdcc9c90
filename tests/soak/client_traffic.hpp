#ifndef GLENHOLLOW_TESTS_SOAK_CLIENT_TRAFFIC_HPP
#define GLENHOLLOW_TESTS_SOAK_CLIENT_TRAFFIC_HPP

#include "glenhollow/core/random.hpp"
#include "soak/soak_checker.hpp"

namespace glenhollow::soak
{

/// @param engine Draws.
/// @return A job's id.
std::string drawn_id(random_engine& engine);

/// Draws a job of one of the three kinds that users send: short and wide (8
/// tasks of some 60 ms), long (4 of some 900 ms), and single or double (of some
/// 200 ms).
/// @param engine Draws.
/// @param kept Share of jobs that are kept in the store.
/// @return The job.
soak_job mixed_job(random_engine& engine, double kept);

/// @param job A job.
/// @return How long it may take to be served in time: twice its longest chain
/// and the queue's target, as in the soak's configuration.
duration timely_bound(const soak_job& job);

} // namespace glenhollow::soak

#endif
