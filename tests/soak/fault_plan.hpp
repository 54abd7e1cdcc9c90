#ifndef GLENHOLLOW_TESTS_SOAK_FAULT_PLAN_HPP
#define GLENHOLLOW_TESTS_SOAK_FAULT_PLAN_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"
#include "glenhollow/core/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace glenhollow::soak
{

/// What goes wrong.
enum class fault_kind : std::uint8_t
{
    entry_kill,        ///< SIGKILL, started again after a while.
    entry_pause,       ///< SIGSTOP, SIGCONT after a while.
    entry_stop,        ///< SIGTERM, started again a while after its end.
    agent_kill,        ///< As with an entry.
    agent_pause,       ///< As with an entry.
    agent_stop,        ///< As with an entry.
    backend_crash,     ///< All its runs die, a new life begins.
    backend_lose,      ///< Calls done, but not answered.
    backend_late,      ///< Orders carried out later, not answered.
    backend_slow,      ///< Answers late.
    backend_fail,      ///< Runs end `failed`.
    backend_refuse,    ///< Starts get 503.
    backend_restart,   ///< Answers nobody, then lives again under the same id.
    backend_leave,     ///< Says that it leaves, signs off, and lives again so.
    backend_stranger,  ///< Another writer's heartbeats come among its own.
    store_slow,        ///< Answers late.
    store_down,        ///< 503.
    store_lose,        ///< Calls done, but not answered.
    store_late,        ///< Writes done later, not answered.
    store_refuse,      ///< 429.
    store_forget,      ///< Its history is gone.
    link_slow,         ///< A link of a process: see link_state.
    link_silent,       ///< See link_state.
    link_deaf,         ///< See link_state.
    link_reset,        ///< See link_state.
    backend_pause,     ///< As with an entry.
    peer_slow,         ///< A link between two processes: both ways come late.
    peer_slow_calls,   ///< Only what its caller sends comes late.
    peer_slow_answers, ///< Only what its caller gets comes late.
    peer_silent,       ///< See link_state.
    peer_deaf,         ///< See link_state.
    peer_mute,         ///< See link_state.
    peer_reset,        ///< See link_state.
    peer_lost,         ///< Its connections are silent for good; new ones work.
    process_cut,       ///< A process is cut from all but its backend server.
    hall_cut,          ///< Two halls are cut from each other.
    stalls,            ///< Short stops in series at a share of all processes.
    stall_all          ///< One short stop of all processes at once.
};

/// Kinds that plans of a seed draw from; so a seed means the same plan however
/// many kinds files may name.
inline constexpr std::size_t drawn_kinds = 25;
/// All kinds.
inline constexpr std::size_t all_kinds = 38;

/// What a kind strikes.
enum class fault_group : std::uint8_t
{
    entry,   ///< An entry's process.
    agent,   ///< An agent's process.
    backend, ///< A backend server.
    store,   ///< The store.
    link,    ///< A link to the store or to a backend server.
    peer,    ///< A link between two processes.
    process, ///< An entry's or an agent's process; entries come first.
    halls,   ///< Two halls.
    all      ///< Everything.
};

/// @param kind A kind of fault.
/// @return What it strikes.
fault_group group_of(fault_kind kind);

/// One fault of a plan.
struct planned_fault
{
    fault_kind kind = fault_kind::entry_kill; ///< What.
    std::uint32_t target = 0;                 ///< Which process, from 0.
    duration at{};                            ///< From the begin.
    duration lasts{};                         ///< How long.
    double share = 0;                         ///< Of calls, where drawn.
    std::string line{}; ///< Event in a log for which it waits from `at` on;
                        ///< empty: for none.
    duration after{};   ///< From that line to the fault.
};

/// How large a deployment a plan is for.
struct plan_settings
{
    std::uint64_t seed = 1;    ///< Decides everything.
    duration length{};         ///< All faults end before.
    std::uint32_t entries = 3; ///< Processes.
    std::uint32_t agents = 4;  ///< Processes, each with a backend server.
    /// Links: one from each entry to the store, then two from each agent, to
    /// the store and to its backend server.
    /// @return How many there are.
    std::uint32_t links() const { return entries + 2 * agents; }

    std::uint32_t halls = 1; ///< Over which processes are spread.
    bool wide = false;       ///< Draws from all kinds, and lets faults wait for
                             ///< lines; else only from the first drawn_kinds.

    /// Links between processes: from each entry to each other entry, then to
    /// each agent.
    /// @return How many there are.
    std::uint32_t peers() const { return entries * (entries - 1 + agents); }

    duration calm = seconds{4};  ///< Before the first fault.
    duration apart = seconds{1}; ///< Between two faults, on average.
};

/// @param settings Seed and sizes.
/// @return The faults by time.
std::vector<planned_fault> plan_faults(const plan_settings& settings);

/// For a line of a log at most so long; then the fault is left out.
inline constexpr duration line_wait = seconds{6};

/// @param plan Faults.
/// @return One line each: begin in ms, kind, target, length in ms, share; where
/// it waits for a line of a log, also that event and the ms after it.
std::string to_text(const std::vector<planned_fault>& plan);

/// @param text As to_text gives it; lines that begin with # are left out.
/// @param settings Sizes that targets must fit.
/// @return The faults, or which line is wrong.
result<std::vector<planned_fault>> plan_from(const std::string& text,
                                             const plan_settings& settings);

} // namespace glenhollow::soak

template <>
struct glenhollow::name_table<glenhollow::soak::fault_kind>
{
    static constexpr std::array<std::string_view, 38> names{
        "entry_kill",      "entry_pause",       "entry_stop",
        "agent_kill",      "agent_pause",       "agent_stop",
        "backend_crash",   "backend_lose",      "backend_late",
        "backend_slow",    "backend_fail",      "backend_refuse",
        "backend_restart", "backend_leave",     "backend_stranger",
        "store_slow",      "store_down",        "store_lose",
        "store_late",      "store_refuse",      "store_forget",
        "link_slow",       "link_silent",       "link_deaf",
        "link_reset",      "backend_pause",     "peer_slow",
        "peer_slow_calls", "peer_slow_answers", "peer_silent",
        "peer_deaf",       "peer_mute",         "peer_reset",
        "peer_lost",       "process_cut",       "hall_cut",
        "stalls",          "stall_all"};
};

#endif
