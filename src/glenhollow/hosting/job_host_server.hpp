#ifndef GLENHOLLOW_HOSTING_JOB_HOST_SERVER_HPP
#define GLENHOLLOW_HOSTING_JOB_HOST_SERVER_HPP

#include "glenhollow/hosting/job_host.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace glenhollow
{

/// Limits of the sessions.
struct job_host_server_settings
{
    duration silence_timeout =
        seconds{1}; ///< An entry that is not heard for so long
                    ///< is gone. It notices a cut after 0.6 s or
                    ///< more, and its callers may send their
                    ///< jobs again 1.3 s after that: by then
                    ///< nothing may run here.
};

/// Offers a host to entries: one session each. What an entry has here ends with
/// its session, or when it is silent. Runs inside an rpc_loop.
class job_host_server final
{
public:
    /// @param clock Outlives the server.
    /// @param host Outlives the server.
    /// @param settings Limits.
    job_host_server(const clock_source& clock, job_host& host,
                    const job_host_server_settings& settings);
    ~job_host_server() noexcept;

    /// @param entry Its name; an earlier session of it ends.
    /// @return Its session.
    wire::JobHost::Client open(const std::string& entry);

    /// Ends the sessions of silent entries.
    void tick();

    /// @return Sessions that are open.
    std::size_t sessions() const { return sessions_.size(); }

private:
    class session_server;
    using session_number = std::uint64_t;

    /// One entry's session.
    struct session
    {
        std::string entry;                 ///< Its name.
        instant last_call{};               ///< Its last call.
        std::set<job_id> jobs;             ///< That it waits for.
        std::vector<agent_address> agents; ///< The group as it knows it.
    };

    session* find(session_number number);
    void end(session_number number, std::string_view cause);
    void release(session_number number, job_id job);
    void withdraw_if_unclaimed(job_id job);
    void merge_groups();

    const clock_source& clock_;                  ///< This process's.
    job_host& host_;                             ///< The jobs.
    job_host_server_settings settings_;          ///< Limits.
    std::map<session_number, session> sessions_; ///< Open.
    session_number session_count_ = 0;           ///< Of sessions so far.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Guard.
};

/// @param out Gets the load.
/// @param host What is told of.
void fill(wire::HostLoad::Builder out, const job_host& host);

} // namespace glenhollow

#endif
