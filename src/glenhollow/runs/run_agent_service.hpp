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

/// Serves entries: one session each, with orders in and reports out. A report
/// that its entry answers renews the leases of the parts that the entry owns.
class run_agent_service final : private run_listener
{
public:
    /// @param io Runs delayed work.
    /// @param clock Outlives the service.
    /// @param manager Outlives the service.
    /// @param incarnation Of this process.
    /// @param settings Limits.
    run_agent_service(boost::asio::io_context& io, const clock_source& clock,
                      run_manager& manager, std::uint64_t incarnation,
                      const report_pacing_settings& settings);
    ~run_agent_service() noexcept override;

    /// @return The interface offered to entries.
    wire::RunAgent::Client bootstrap();

    /// Told the name of an entry that wants jobs hosted; gives its session.
    using job_host_factory =
        std::function<wire::JobHost::Client(const std::string& entry)>;

    /// @param opener Opens sessions with this process's host of jobs; without
    /// one, entries are refused.
    void set_job_host_factory(job_host_factory opener)
    {
        job_host_factory_ = std::move(opener);
    }

    /// Sends the reports that are due.
    void tick();

    /// @param page Gets the agent's metrics.
    void collect(metric_page& page) const;

private:
    class agent_server;
    class session_server;

    /// One entry's session.
    struct session
    {
        std::string entry;                ///< Its name.
        std::uint64_t session_number = 0; ///< Of the session, rising.
        std::uint64_t incarnation = 0;    ///< Of the entry's process.
        lease_id memory = 0;              ///< Lease of its jobs in memory.
        std::uint64_t received = 0;       ///< Order batches.
        kj::Maybe<wire::RunReports::Client> reports; ///< Its ear.
        bool reporting = false;                      ///< A report is out.
        report_status status;               ///< What it has to be told.
        std::vector<std::uint32_t> granted; ///< Its grants that have come.
        server_incarnation
            reported_incarnation; ///< Runner's life whose account was told.
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
    void report(session& receiver, std::size_t open);
    void fill_ends(const std::vector<lease_id>& leases,
                   wire::RunReport::Builder out);
    void fill_started(const std::vector<lease_id>& leases,
                      wire::RunReport::Builder out);
    void handle_report_answer(std::uint64_t session_number, instant sent,
                              const std::vector<part_epoch>& renewed,
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

    boost::asio::io_context& io_;             ///< Runs delayed work.
    const clock_source& clock_;               ///< This agent's.
    run_manager& manager_;                    ///< The runs.
    std::uint64_t incarnation_;               ///< Of this process.
    report_pacing pacing_;                    ///< When to report.
    std::map<std::string, session> sessions_; ///< By entry.
    std::unordered_map<std::uint64_t, session*>
        sessions_by_number_;                   ///< The same.
    std::map<lease_id, std::uint64_t> owners_; ///< Session by lease.
    std::uint32_t process_count_ = 0;          ///< Entries' processes so far.
    std::uint64_t session_count_ = 0;          ///< Of sessions.
    std::uint64_t report_count_ = 0;           ///< Sent.
    std::uint64_t batch_count_ = 0;            ///< Order batches taken.
    std::uint64_t hall_version_ = 0; ///< Of what is known of the hall.
    std::vector<kj::Own<kj::PromiseFulfiller<void>>>
        waiting_adoptions_;                ///< See
                                           ///< when_runs_known.
    bool urgent_report_scheduled_ = false; ///< A flush is on its way.
    bool load_report_scheduled_ = false;   ///< One for room alone, too.
    background_tasks pending_reports_;     ///< Reports that are out.
    job_host_factory job_host_factory_;    ///< Of jobs, at this process.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Guard.
};

} // namespace glenhollow

#endif
