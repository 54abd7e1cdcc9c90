#ifndef GLENHOLLOW_HOSTING_JOB_HOST_SERVER_HPP
#define GLENHOLLOW_HOSTING_JOB_HOST_SERVER_HPP

#include "glenhollow/hosting/job_host.hpp"
#include "glenhollow/hosting/liveness_evidence.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace glenhollow
{

/// Limits of the sessions with entries.
struct job_host_server_settings
{
    /// Time without a call after which an entry's session ends, which frees the
    /// capacity that its jobs use. Their runs end earlier, with the entry's
    /// lease.
    duration silence_timeout = seconds{1};
};

/// Serves a job host to entries, with one session per entry. The jobs of an
/// entry are withdrawn when its session ends or times out. Runs inside an
/// rpc_loop.
class job_host_server final
{
public:
    /// @param clock Must outlive the server.
    /// @param host Must outlive the server.
    /// @param settings Limits of the sessions.
    job_host_server(const clock_source& clock, job_host& host,
                    const job_host_server_settings& settings);
    ~job_host_server() noexcept;

    /// Opens a session and ends an earlier one of the same entry.
    /// @param entry Name of the entry.
    /// @return The session's interface for the entry.
    wire::JobHost::Client open(const std::string& entry);

    /// Ends the sessions of entries that timed out.
    void tick();

    /// @return Number of open sessions.
    std::size_t sessions() const { return sessions_.size(); }

private:
    class session_server;
    using session_number = submitter_id;

    /// One entry's session.
    struct session
    {
        std::string entry;          ///< Name of the entry.
        instant last_call{};        ///< Time of the entry's last call.
        liveness_evidence liveness; ///< Shows when the entry was alive.
        std::set<job_id> jobs;      ///< Jobs whose replies the entry awaits.
        instant last_job{};         ///< Time of the last call with a job.
        /// Members of the group as the entry knows them.
        std::vector<agent_address> agents;
    };

    session* find(session_number number);
    void record_message(session_number number, const liveness_proof& proof);
    void record_job(session_number number, job_id job);
    void update_submitter(session_number number, const session& caller);
    void end(session_number number, std::string_view cause);
    void release(session_number number, job_id job);
    void withdraw_if_unclaimed(job_id job);
    void merge_groups();

    const clock_source& clock_;
    job_host& host_; ///< Runs the jobs.
    job_host_server_settings settings_;
    std::map<session_number, session> sessions_; ///< Open sessions.
    session_number session_count_ = 0; ///< Number of the last opened session.
    /// Set to false by the destructor; guards pending callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Writes a host's load to a message.
/// @param out Message to fill.
/// @param host Host to describe.
void fill(wire::HostLoad::Builder out, const job_host& host);

} // namespace glenhollow

#endif
