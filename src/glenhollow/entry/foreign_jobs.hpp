#ifndef GLENHOLLOW_ENTRY_FOREIGN_JOBS_HPP
#define GLENHOLLOW_ENTRY_FOREIGN_JOBS_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/entry/adopted_answers.hpp"
#include "glenhollow/entry/agent_control.hpp"
#include "glenhollow/entry/caller_api.hpp"
#include "glenhollow/entry/peer_links.hpp"
#include "glenhollow/membership/membership.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Settings of the handling of other entries' submissions.
struct foreign_jobs_settings
{
    std::string entry = "entry"; ///< Name of this entry.
    link_subset_settings subset; ///< Link subset, the same at all entries.
    /// Up to this number, the agents of all runners are fenced.
    std::size_t max_agents_without_subset = 512;
    /// Retention of the answers of an adopted incarnation.
    duration answer_retention = seconds{300};
    /// Interval of fences while tasks of the incarnation still run.
    duration unfinished_poll_interval = milliseconds{200};
    /// Limit of the wait for running tasks.
    duration max_unfinished_wait = seconds{60};
    /// Delay between fences after an agent declined one.
    duration decline_retry_interval = milliseconds{300};
    /// Time after which a declined adoption is given up.
    duration decline_timeout = seconds{3};
};

/// Result of a completed adoption.
struct adoption_report
{
    std::string entry;                  ///< Name of the adopted entry.
    std::uint64_t incarnation = 0;      ///< Incarnation that was adopted.
    std::size_t jobs = 0;               ///< Jobs found at agents.
    std::size_t complete_jobs = 0;      ///< Jobs answered complete.
    std::size_t unreachable_agents = 0; ///< Agents that did not answer.
};

/// Handles requests about submissions that another entry issued: forwards them
/// to that entry, or to the entry that holds its answers. If the issuing entry
/// is gone, one entry, chosen alike by all, adopts its incarnation. Runs on the
/// control thread.
class foreign_jobs final
{
public:
    /// A request about a submission of another entry.
    struct request
    {
        submission_id id;                ///< Submission id.
        std::optional<std::string> body; ///< Body of a job; empty for a lookup.
        std::string traceparent;         ///< W3C trace context.
        bool adopt = false; ///< Adopt here; do not search for a holder.
    };

    /// @param io Runs the timers.
    /// @param clock The entry's clock; outlives this.
    /// @param peers Links to other entries; outlive this.
    /// @param agents Calls to agents; outlive this.
    /// @param members The known VMs; outlive this.
    /// @param settings Timeouts and limits.
    foreign_jobs(boost::asio::io_context& io, const clock_source& clock,
                 peer_links& peers, agent_control& agents,
                 const membership& members,
                 const foreign_jobs_settings& settings);
    ~foreign_jobs();

    /// @param handler Called after each completed adoption.
    void on_adopted(std::function<void(const adoption_report&)> handler)
    {
        adopted_ = std::move(handler);
    }

    /// Answers a request from held answers, by forwarding it, or by adoption.
    /// @param incoming The request.
    /// @param done Called once with the answer.
    void resolve(request incoming, answer_callback done);

    /// Stores answers that a stopping entry hands over.
    /// @param entry Name of the stopping entry.
    /// @param hall Hall of that entry.
    /// @param incarnation Incarnation of that entry.
    /// @param answers A part of its answers.
    void keep(const std::string& entry, const std::string& hall,
              std::uint64_t incarnation,
              const std::vector<coordinator::kept_answer>& answers);

    /// @param incarnation Incarnation of another entry.
    /// @return Whether this entry holds its answers or is adopting it.
    bool holds(std::uint64_t incarnation) const;

    /// Records which entry receives the answers of a stopping peer.
    /// @param entry Name of the peer.
    /// @param report The latest report of the peer.
    void on_peer_report(const std::string& entry, const peer_report& report);

    /// Removes incarnations whose retention has ended.
    void tick();

    /// Adds the metrics of adoptions to a page.
    void collect(metric_page& page) const;

private:
    struct incarnation_state;

    void forward(const std::string& to, request incoming, bool adopt,
                 answer_callback done);
    void find_holder(request incoming, answer_callback done);
    void choose_adopter(request incoming, answer_callback done);
    void adopt(request incoming, answer_callback done);
    std::vector<member> agents_of(const submission_id& id) const;
    void run_fence_round(const std::shared_ptr<incarnation_state>& state);
    void finish_fence_round(const std::shared_ptr<incarnation_state>& state);
    void
    answer_waiting_requests(const std::shared_ptr<incarnation_state>& state);
    void decline_adoption(const std::shared_ptr<incarnation_state>& state);
    job_answer answer_from(const incarnation_state& state,
                           const request& incoming) const;

    boost::asio::io_context& io_; ///< The event loop.
    const clock_source& clock_;
    peer_links& peers_;         ///< Links to other entries.
    agent_control& agents_;     ///< Calls to agents.
    const membership& members_; ///< The known VMs.
    foreign_jobs_settings settings_;
    /// Adoption handler; may be empty.
    std::function<void(const adoption_report&)> adopted_;
    /// Incarnations that are adopted, in adoption, or handed over.
    std::map<std::uint64_t, std::shared_ptr<incarnation_state>> incarnations_;
    /// Entries that hold the answers of an incarnation.
    std::map<std::uint64_t, std::string> holders_;
    std::uint64_t adoptions_ = 0;          ///< Completed adoptions.
    std::uint64_t declined_adoptions_ = 0; ///< Adoptions of live entries.
    std::uint64_t forwarded_ = 0;          ///< Requests forwarded to entries.
};

} // namespace glenhollow

#endif
