#ifndef GLENHOLLOW_RUNS_RUN_AGENT_SERVICE_HPP
#define GLENHOLLOW_RUNS_RUN_AGENT_SERVICE_HPP

#include "glenhollow/rpc/rpc_loop.hpp"
#include "glenhollow/runs/report_pacing.hpp"
#include "glenhollow/runs/run_manager.hpp"
#include "glenhollow/runs/run_wire.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace glenhollow
{

/// Serves entries: each has one session, in which it sends orders and receives
/// reports. An answered report renews the leases of the parts that the entry
/// owns and of its in-memory jobs.
class run_agent_service final : private run_listener
{
public:
    /// @param io Runs delayed work.
    /// @param clock Outlives the service.
    /// @param manager Outlives the service.
    /// @param incarnation Incarnation of this agent process.
    /// @param settings Report intervals.
    run_agent_service(boost::asio::io_context& io, const clock_source& clock,
                      run_manager& manager, std::uint64_t incarnation,
                      const report_pacing_settings& settings);
    ~run_agent_service() noexcept override;

    /// @return The interface offered to entries.
    wire::RunAgent::Client bootstrap();

    /// Opens a session with the job host of this process for the named entry.
    using job_host_factory =
        std::function<wire::JobHost::Client(const std::string& entry)>;

    /// @param opener Opens job host sessions; without one they are refused.
    void set_job_host_factory(job_host_factory opener)
    {
        job_host_factory_ = std::move(opener);
    }

    /// Sends the reports that are due.
    void tick();

    /// @param page Receives the metrics of the agent.
    void collect(metric_page& page) const;

private:
    class agent_server;
    class session_server;

    /// The session of one entry.
    struct session
    {
        std::string entry;                ///< Name of the entry.
        std::uint64_t session_number = 0; ///< Increases with each session.
        std::uint64_t incarnation = 0;    ///< Incarnation of the entry process.
        lease_id memory = 0;              ///< Lease of its in-memory jobs.
        std::uint64_t received = 0;       ///< Number of order batches received.
        /// Receives the reports; empty once the link is lost.
        kj::Maybe<wire::RunReports::Client> reports;
        bool reporting = false; ///< A report is unanswered.
        report_status status;
        /// Its grants whose orders have arrived since the last report.
        std::vector<std::uint32_t> granted;
        /// Incarnation whose full account was reported last.
        server_incarnation reported_incarnation;
        std::uint32_t reported_number = 0; ///< Its number.
        resources reported_capacity;       ///< Its capacity.
    };

    void lease_changed(lease_id lease) override;
    void run_started(lease_id lease) override;
    void load_changed() override;
    void phase_changed() override;
    void schedule_urgent_report();
    void schedule_load_report();
    duration next_load_interval() const;
    void record_grant(const run_order& order);
    std::size_t open_sessions() const;
    void send_due_reports();
    void update_busy_sessions();
    bool is_due(const session& receiver, std::size_t open) const;
    server_report current_state(std::uint64_t received, bool has_account) const;
    void report(session& receiver, std::size_t open);
    void fill_ends(const std::vector<lease_id>& leases,
                   wire::RunReport::Builder out);
    void fill_started(const std::vector<lease_id>& leases,
                      wire::RunReport::Builder out);
    void handle_report_answer(std::uint64_t session_number, instant sent,
                              const std::vector<part_epoch>& renewed,
                              const std::vector<submitter_lease>& submitters,
                              duration requested_interval, bool is_placer);
    void update_hall(bool evacuated, std::uint64_t version);
    void handle_report_failure(std::uint64_t session_number);
    kj::Promise<void> when_runs_known();
    void resume_waiting();
    void handle_adoption(std::uint64_t session_number, lease_id lease);
    void handle_orders(session& sender);
    void pace(std::uint64_t session_number, duration requested_interval,
              bool is_placer);
    void open(const std::string& entry, std::uint64_t incarnation,
              wire::RunReports::Client reports);
    std::vector<lease_id> leases_of(const session& owner_session) const;
    session* owner_of(lease_id lease);
    session* find(std::uint64_t session_number);

    boost::asio::io_context& io_;
    const clock_source& clock_;
    run_manager& manager_;
    std::uint64_t incarnation_;
    report_pacing pacing_;
    std::map<std::string, session> sessions_; ///< Sessions by entry name.
    /// Sessions by session number.
    std::unordered_map<std::uint64_t, session*> sessions_by_number_;
    /// Session number of each lease's holder.
    std::map<lease_id, std::uint64_t> owners_;
    std::uint32_t process_count_ = 0; ///< Number of entry processes so far.
    std::uint64_t session_count_ = 0; ///< Number of sessions so far.
    std::uint64_t report_count_ = 0;  ///< Number of reports sent.
    std::uint64_t batch_count_ = 0;   ///< Number of order batches received.
    std::uint64_t hall_version_ = 0;  ///< Version of the hall's known state.
    /// Adoptions that wait until the runs are known.
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiting_adoptions_;
    bool urgent_report_scheduled_ = false;
    bool load_report_scheduled_ = false;
    background_tasks pending_reports_; ///< Reports without an answer.
    job_host_factory job_host_factory_;
    /// False once destroyed; checked by callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace glenhollow

#endif
