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

/// Settings of the treatment of other entries' submissions.
struct foreign_jobs_settings
{
    std::string entry = "entry"; ///< Our name.
    link_subset_settings subset; ///< Of links, the same at all entries.
    std::size_t max_agents_without_subset =
        512; ///< Runners that are all asked.
    duration answer_retention =
        seconds{300}; ///< Answers of an adopted incarnation.
    duration ask_again = milliseconds{200};     ///< While tasks still run.
    duration max_unfinished_wait = seconds{60}; ///< For tasks that still run.
    duration decline_retry_interval =
        milliseconds{300};                 ///< After a declined fence.
    duration decline_timeout = seconds{3}; ///< Then the caller is told.
};

/// Told of an adoption that has ended.
struct adoption_report
{
    std::string entry;                  ///< Whose jobs were adopted.
    std::uint64_t incarnation = 0;      ///< Of that entry.
    std::size_t jobs = 0;               ///< Jobs found at agents.
    std::size_t complete_jobs = 0;      ///< Of them, answered complete.
    std::size_t unreachable_agents = 0; ///< Agents that gave no answer.
};

/// Submissions that another entry minted: forwards them to it by name, or to
/// whoever has its answers; when it is gone, one entry, the same for all,
/// adopts its incarnation. On the control thread.
class foreign_jobs final
{
public:
    /// A request about a submission of another entry.
    struct request
    {
        submission_id id;                ///< The submission.
        std::optional<std::string> body; ///< Of a job; none: a question.
        std::string traceparent;         ///< W3C trace context.
        bool adopt = false;              ///< Not to be forwarded again.
    };

    /// @param io Runs the timers.
    /// @param clock The entry's clock; outlives this.
    /// @param peers Links to other entries; outlive this.
    /// @param agents Calls to agents; outlive this.
    /// @param members The VMs; outlive this.
    /// @param settings Limits.
    foreign_jobs(boost::asio::io_context& io, const clock_source& clock,
                 peer_links& peers, agent_control& agents,
                 const membership& members,
                 const foreign_jobs_settings& settings);
    ~foreign_jobs();

    /// @param handler Told of each adoption.
    void on_adopted(std::function<void(const adoption_report&)> handler)
    {
        adopted_ = std::move(handler);
    }

    /// @param asked The request.
    /// @param done Told its answer.
    void resolve(request incoming, answer_callback done);

    /// Takes answers that a stopping entry hands over.
    /// @param entry Its name.
    /// @param hall Its hall.
    /// @param incarnation Its start.
    /// @param answers Some of its answers.
    void keep(const std::string& entry, const std::string& hall,
              std::uint64_t incarnation,
              const std::vector<coordinator::kept_answer>& answers);

    /// @param incarnation Of another entry.
    /// @return Whether its answers are here.
    bool holds(std::uint64_t incarnation) const;

    /// Notes what a peer reported of itself, a planned stop above all.
    /// @param entry Its name.
    /// @param report What it reported.
    void on_peer_report(const std::string& entry, const peer_report& report);

    /// Forgets incarnations after their time.
    void tick();

    /// @param page Gets the metrics of adoptions.
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

    boost::asio::io_context& io_;    ///< Runs the timers.
    const clock_source& clock_;      ///< The entry's clock.
    peer_links& peers_;              ///< Links to other entries.
    agent_control& agents_;          ///< Calls to agents.
    const membership& members_;      ///< The VMs.
    foreign_jobs_settings settings_; ///< Limits.
    std::function<void(const adoption_report&)> adopted_; ///< May be empty.
    std::map<std::uint64_t, std::shared_ptr<incarnation_state>>
        incarnations_; ///< Whose answers are here, or will be.
    std::map<std::uint64_t, std::string> holders_; ///< By incarnation.
    std::uint64_t adoptions_ = 0;                  ///< Ended.
    std::uint64_t declined_adoptions_ = 0; ///< Given up, the entry being alive.
    std::uint64_t forwarded_ = 0;          ///< Requests sent on.
};

} // namespace glenhollow

#endif
