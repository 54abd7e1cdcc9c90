#ifndef GLENHOLLOW_TESTS_HOSTILE_ATTACKS_HPP
#define GLENHOLLOW_TESTS_HOSTILE_ATTACKS_HPP

#include "hostile/crowd.hpp"
#include "hostile/hostile_deployment.hpp"

#include <string>
#include <vector>

namespace glenhollow::hostile
{

/// A crowd of clients that keep none of the limits of the interface.
struct attack
{
    std::string name; ///< Name of the test.
    target_process process = target_process::entry;
    target_port port = target_port::callers;
    crowd_behaviour crowd;
    process_limits limits{};
};

/// @return All attacks, one per port and part of a message.
std::vector<attack> all_attacks();

} // namespace glenhollow::hostile

#endif
