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

/// Entries that take part in the answer to a statement.
enum class statement_scope : std::uint8_t
{
    all_entries, ///< All reachable entries; their rows are merged.
    this_entry   ///< This entry only, for statements forwarded by a peer.
};

/// Executes operators' statements on the control thread of an entry.
class operator_service final
{
public:
    /// @param plane The entry's control plane; must outlive the service.
    /// @param backend Interface for jobs; must outlive the service.
    operator_service(control_plane& plane, entry_backend& backend)
        : plane_(plane), backend_(backend)
    {
    }

    /// Parses and executes a statement.
    /// @param text Text of one statement.
    /// @param by Name of the operator.
    /// @param scope Entries that take part in the answer.
    /// @param done Called with the answer.
    void run(const std::string& text, const std::string& by,
             statement_scope scope, answer_callback done);

private:
    struct context;
    using context_ptr = std::shared_ptr<context>;

    void execute(const show_statement& show, const context_ptr& ctx);
    void execute(const show_change_statement& show, const context_ptr& ctx);
    void execute(const why_statement& why, const context_ptr& ctx);
    void execute(const why_waste_statement& why, const context_ptr& ctx);
    void execute(const set_quota_statement& set, const context_ptr& ctx);
    void execute(const set_weight_statement& set, const context_ptr& ctx);
    void execute(const set_token_statement& set, const context_ptr& ctx);
    void execute(const unset_team_statement& unset, const context_ptr& ctx);
    void execute(const set_statement& set, const context_ptr& ctx);
    void execute(const drain_statement& drain, const context_ptr& ctx);
    void execute(const create_job_statement& create, const context_ptr& ctx);
    void execute(const cancel_statement& cancel, const context_ptr& ctx);
    void execute(const help_statement& help, const context_ptr& ctx);

    void submit_created_job(const std::shared_ptr<routed_job>& job,
                            const context_ptr& ctx);
    void local_rows(show_target target, std::function<void(row_table)> done);
    void show_runners(std::function<void(row_table)> done);
    void show_entries(std::function<void(row_table)> done);
    void show_teams(std::function<void(row_table)> done);
    void show_jobs(std::function<void(row_table)> done);
    void merge_peer_rows(const context_ptr& ctx, row_table own,
                         const row_merge_rules& rules,
                         std::function<void(row_table)> done);
    void change(std::map<std::string, std::string> rows,
                const context_ptr& ctx);
    bool forward_to_issuer(const submission_id& id, const context_ptr& ctx);
    void explain_locally(const why_statement& why, const submission_id& id,
                         const context_ptr& ctx);
    void explain_drain(const std::string& runner, const context_ptr& ctx);
    void
    explain_from_reports(const std::string& prefix, const context_ptr& ctx,
                         row_table found,
                         std::function<bool(const report_line&)> is_wanted);
    void read_reports(std::vector<std::string> names, const context_ptr& ctx,
                      std::shared_ptr<row_table> found,
                      std::function<bool(const report_line&)> is_wanted);

    control_plane& plane_;   ///< The entry's control plane.
    entry_backend& backend_; ///< Interface for jobs.
};

} // namespace glenhollow

#endif
