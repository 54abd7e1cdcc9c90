#ifndef GLENHOLLOW_LANGUAGE_STATEMENT_HPP
#define GLENHOLLOW_LANGUAGE_STATEMENT_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace glenhollow
{

/// How a condition compares.
enum class comparison : std::uint8_t
{
    equal,         ///< =
    not_equal,     ///< !=
    less_equal,    ///< <=
    greater_equal, ///< >=
    less,          ///< <
    greater        ///< >
};

template <>
struct name_table<comparison>
{
    static constexpr std::array<std::string_view, 6> names{
        "=", "!=", "<=", ">=", "<", ">"};
};

/// One condition on a row: `<field> <op> <value>`.
struct condition
{
    std::string field;                 ///< Of the row.
    comparison op = comparison::equal; ///< How it compares.
    std::string value;                 ///< With what.
};

/// What `show` lists.
enum class show_target : std::uint8_t
{
    runners,       ///< The runners with their state.
    entries,       ///< The entries.
    teams,         ///< Teams with a row.
    jobs,          ///< Jobs in flight or kept.
    configuration, ///< The rows of the configuration.
    settings       ///< All settings with their values.
};

template <>
struct name_table<show_target>
{
    static constexpr std::array<std::string_view, 6> names{
        "runners", "entries", "teams", "jobs", "configuration", "settings"};
};

/// `show <what> [where ...]`
struct show_statement
{
    show_target target = show_target::runners; ///< What.
    std::vector<condition> where;              ///< All must hold.
};

/// `show change <id>`
struct show_change_statement
{
    std::string id; ///< Of the change.
};

/// What `why` explains.
enum class why_target : std::uint8_t
{
    task,    ///< Where a task went and why.
    refused, ///< Why a job was refused.
    failed,  ///< Why a job failed.
    drained  ///< Why a runner gets no work.
};

template <>
struct name_table<why_target>
{
    static constexpr std::array<std::string_view, 4> names{"task", "refused",
                                                           "failed", "drained"};
};

/// `why task|refused|failed|drained <subject>`
struct why_statement
{
    why_target target = why_target::task; ///< What to explain.
    std::string subject;                  ///< A submission or a VM.
    std::uint32_t task = 0;               ///< For a task.
};

/// `why waste [since <duration>]`
struct why_waste_statement
{
    std::optional<duration> since; ///< How far back; nothing: all.
};

/// `set team <name> quota <n> tasks/s`
struct set_quota_statement
{
    std::string team; ///< Whose.
    double quota = 0; ///< Tasks a second.
};

/// `set team <name> weight <n>`
struct set_weight_statement
{
    std::string team;  ///< Whose.
    double weight = 1; ///< Share against other teams.
};

/// `set team <name> token <text>`
struct set_token_statement
{
    std::string team;  ///< Whose.
    std::string token; ///< Kept as a hash only.
};

/// `unset team <name>`: its rows go.
struct unset_team_statement
{
    std::string team; ///< Whose.
};

/// `set <key> <value>`
struct set_statement
{
    std::string key;   ///< A setting.
    std::string value; ///< As written.
};

/// `drain runner <name>` and `undrain runner <name>`
struct drain_statement
{
    std::string runner; ///< Which.
    bool on = true;     ///< Whether it gets no work.
};

/// `create job team <name> tasks <n> payload <json>`
struct create_job_statement
{
    std::string team;      ///< Whose.
    std::size_t tasks = 1; ///< How many.
    std::string payload;   ///< JSON text of each.
};

/// `cancel job <id>`
struct cancel_statement
{
    std::string id; ///< A submission.
};

/// `help`
struct help_statement
{
};

/// What a scenario does to a process.
enum class process_action : std::uint8_t
{
    start, ///< Runs it again.
    stop,  ///< SIGTERM.
    kill,  ///< SIGKILL.
    pause, ///< SIGSTOP.
    resume ///< SIGCONT.
};

template <>
struct name_table<process_action>
{
    static constexpr std::array<std::string_view, 5> names{
        "start", "stop", "kill", "pause", "resume"};
};

/// Scenarios: `start|stop|kill|pause|resume <process>`
struct process_statement
{
    process_action action = process_action::start; ///< What to do.
    std::string process;                           ///< Such as e1 or a3.
};

/// Scenarios: `deploy entries <n> runners <n>`
struct deploy_statement
{
    std::size_t entries = 3; ///< How many.
    std::size_t runners = 4; ///< How many.
};

/// Scenarios: `fault <process> <json>`
struct fault_statement
{
    std::string process; ///< platform or a runner.
    std::string json;    ///< What its stand-in takes.
};

/// Scenarios: `use <entry>`: where the next statements go.
struct use_statement
{
    std::string entry; ///< Which.
};

/// Scenarios: `submit <job> team <t> tasks <n> payload <json>`
struct submit_statement
{
    std::string job;       ///< The scenario's own name for it.
    std::string team;      ///< Whose.
    std::size_t tasks = 1; ///< How many.
    std::string payload;   ///< JSON text of each.
};

/// Scenarios: `resubmit <job>`: the same again, through the entry in use.
struct resubmit_statement
{
    std::string job; ///< The scenario's own name for it.
};

/// Scenarios: `expect job <job> <state> [<verdict>] within <duration>`
struct expect_job_statement
{
    std::string job;   ///< The scenario's own name for it.
    std::string state; ///< complete, failed, running or a reason.
    duration within{}; ///< Bound of the wait for that state.
};

/// Scenarios: `expect <n> <what> [where ...] within <duration>`
struct expect_rows_statement
{
    std::size_t count = 0; ///< Rows that `show` must give.
    show_statement show;   ///< What to show.
    duration within{};     ///< Bound of the wait for that state.
};

/// Scenarios: `expect no double start`
struct expect_once_statement
{
};

/// Any statement.
using statement = std::variant<
    show_statement, show_change_statement, why_statement, why_waste_statement,
    set_quota_statement, set_weight_statement, set_token_statement,
    unset_team_statement, set_statement, drain_statement, create_job_statement,
    cancel_statement, help_statement, process_statement, deploy_statement,
    fault_statement, use_statement, submit_statement, resubmit_statement,
    expect_job_statement, expect_rows_statement, expect_once_statement>;

} // namespace glenhollow

#endif
