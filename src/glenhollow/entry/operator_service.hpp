#ifndef GLENHOLLOW_ENTRY_OPERATOR_SERVICE_HPP
#define GLENHOLLOW_ENTRY_OPERATOR_SERVICE_HPP

#include "glenhollow/entry/caller_api.hpp"
#include "glenhollow/entry/control_plane.hpp"
#include "glenhollow/entry/row_table.hpp"
#include "glenhollow/language/statement.hpp"

#include <functional>
#include <memory>
#include <string>

namespace glenhollow
{

/// Whom a statement asks.
enum class statement_scope : std::uint8_t
{
    all_entries, ///< All entries, their rows joined.
    this_entry   ///< This one alone: it came from another entry.
};

/// Answers the operators' statements of one entry, on its control thread.
class operator_service final
{
public:
    /// @param plane The entry's control thread; outlives the service.
    /// @param backend Runs jobs; outlives the service.
    operator_service(control_plane& plane, entry_backend& backend)
        : plane_(plane), backend_(backend)
    {
    }

    /// @param text One statement.
    /// @param by Which operator.
    /// @param scope Whom it asks.
    /// @param done Told the answer.
    void run(const std::string& text, const std::string& by,
             statement_scope scope, answer_callback done);

private:
    struct context;
    using context_ptr = std::shared_ptr<context>;

    void execute(const show_statement& show, const context_ptr& on);
    void execute(const show_change_statement& show, const context_ptr& on);
    void execute(const why_statement& why, const context_ptr& on);
    void execute(const why_waste_statement& why, const context_ptr& on);
    void execute(const set_quota_statement& set, const context_ptr& on);
    void execute(const set_weight_statement& set, const context_ptr& on);
    void execute(const set_token_statement& set, const context_ptr& on);
    void execute(const unset_team_statement& unset, const context_ptr& on);
    void execute(const set_statement& set, const context_ptr& on);
    void execute(const drain_statement& drain, const context_ptr& on);
    void execute(const create_job_statement& create, const context_ptr& on);
    void execute(const cancel_statement& cancel, const context_ptr& on);
    void execute(const help_statement& help, const context_ptr& on);

    void submit_created_job(const std::shared_ptr<routed_job>& job,
                            const context_ptr& on);
    void local_rows(show_target target, std::function<void(row_table)> done);
    void show_runners(std::function<void(row_table)> done);
    void show_entries(std::function<void(row_table)> done);
    void show_teams(std::function<void(row_table)> done);
    void show_jobs(std::function<void(row_table)> done);
    void merge_peer_rows(const context_ptr& on, row_table own,
                         const row_merge_rules& rules,
                         std::function<void(row_table)> done);
    void change(std::map<std::string, std::string> rows, const context_ptr& on);
    bool forward_to_issuer(const submission_id& id, const context_ptr& on);
    void explain_locally(const why_statement& why, const submission_id& id,
                         const context_ptr& on);
    void explain_drain(const std::string& runner, const context_ptr& on);
    void
    explain_from_reports(const std::string& prefix, const context_ptr& on,
                         row_table found,
                         std::function<bool(const report_line&)> is_wanted);
    void read_reports(std::vector<std::string> names, const context_ptr& on,
                      std::shared_ptr<row_table> found,
                      std::function<bool(const report_line&)> is_wanted);

    control_plane& plane_;   ///< The entry's control thread.
    entry_backend& backend_; ///< Runs jobs.
};

} // namespace glenhollow

#endif
