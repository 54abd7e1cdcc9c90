#ifndef GLENHOLLOW_TESTS_SOAK_STANDIN_KNOBS_HPP
#define GLENHOLLOW_TESTS_SOAK_STANDIN_KNOBS_HPP

#include "soak/fault_plan.hpp"
#include "soak/soak_checker.hpp"

#include <boost/json/object.hpp>

#include <list>

namespace glenhollow::soak
{

/// @param active A stand-in's faults that go on.
/// @return What it is told: all knobs are set with each call, those of faults
/// that are over to 0.
boost::json::object knobs_of(const std::list<planned_fault>& active);

/// @param backend Its name.
/// @param body Its record.
/// @return The runs there; who was in touch is not known yet.
std::vector<seen_run> runs_of(const std::string& backend,
                              const std::string& body);

/// @param body A backend server's record.
/// @return How many unreadable heartbeats were answered as if they were good.
std::uint64_t misread(const std::string& body);

} // namespace glenhollow::soak

#endif
