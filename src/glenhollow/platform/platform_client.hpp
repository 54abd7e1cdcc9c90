#ifndef GLENHOLLOW_PLATFORM_PLATFORM_CLIENT_HPP
#define GLENHOLLOW_PLATFORM_PLATFORM_CLIENT_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/decision/token_bucket.hpp"
#include "glenhollow/http/client.hpp"
#include "glenhollow/membership/member.hpp"
#include "glenhollow/platform/circuit_breaker.hpp"
#include "glenhollow/platform/table_service.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Limits of one process's calls to the platform's services.
struct platform_client_settings
{
    host_port server;                   ///< Address of the platform.
    duration call_timeout = seconds{2}; ///< Timeout of a call.
    double reads_per_second = 6;        ///< Rate limit of reads.
    double writes_per_second = 2;       ///< Rate limit of writes.
    double burst_seconds = 10; ///< Burst of both, in seconds of the rate.
    circuit_breaker_settings breaker; ///< Circuit breaker limits.
};

/// Changes of the VM list since a revision.
struct vm_changes
{
    std::uint64_t revision = 0;  ///< Revision to pass to the next call.
    std::vector<member> changed; ///< New state of each changed VM.
};

/// Counters of calls to the platform.
struct platform_client_stats
{
    std::uint64_t reads = 0;    ///< Reads sent.
    std::uint64_t writes = 0;   ///< Writes sent.
    std::uint64_t failed = 0;   ///< Calls that failed after being admitted.
    std::uint64_t rejected = 0; ///< Calls over the rate limit or breaker open.
};

/// Client of the platform's services with call timeouts, rate limits and a
/// circuit breaker. It does not retry calls, as only the caller knows whether a
/// retry is safe.
class platform_client final : public table_service
{
public:
    /// @param clock Must outlive the client.
    platform_client(boost::asio::io_context& io, const clock_source& clock,
                    const platform_client_settings& settings);

    /// Lists the VMs that changed after a revision.
    /// @param since Revision of an earlier call, or 0 for all VMs.
    void list_vms(std::uint64_t since, reader<vm_changes> done);

    void read_row(const std::string& key, reader<table_row> done) override;
    void transact(const table_transaction& change, writer done) override;

    /// Stores an object.
    void put_object(const std::string& name, std::string content, writer done);

    /// Reads the content of an object.
    void read_object(const std::string& name, reader<std::string> done);

    /// Lists the names of the objects that begin with a prefix.
    void list_objects(const std::string& prefix,
                      reader<std::vector<std::string>> done);

    /// @return Whether the circuit breaker has tripped and not recovered.
    bool is_unavailable() const { return breaker_.has_tripped(); }

    const platform_client_stats& stats() const { return stats_; }

    /// Adds the client's metrics to a page.
    void collect(metric_page& page) const;

private:
    /// Called with the outcome and the response, which is empty if none came.
    using raw_handler = std::function<void(platform_outcome, http_response)>;

    void call(http_request request, bool is_write, raw_handler done);
    platform_outcome classify(const http_result& end);

    const clock_source& clock_;
    platform_client_settings settings_;
    std::unique_ptr<http_client> http_;
    circuit_breaker breaker_;
    token_bucket read_bucket_;  ///< Rate limit of reads.
    token_bucket write_bucket_; ///< Rate limit of writes.
    platform_client_stats stats_;
};

} // namespace glenhollow

#endif
