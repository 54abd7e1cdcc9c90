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

/// Limits of the use of the platform's services by one process.
struct platform_client_settings
{
    host_port server;                   ///< The platform.
    duration call_timeout = seconds{2}; ///< Of one call.
    double reads_per_second = 6;        ///< Cap of this process.
    double writes_per_second = 2;       ///< Cap of this process.
    double burst_seconds = 10;          ///< Of both, saved up.
    circuit_breaker_settings breaker;   ///< When to leave it alone.
};

/// Changes of the VM list.
struct vm_changes
{
    std::uint64_t revision = 0;  ///< To ask for later changes.
    std::vector<member> changed; ///< New state of each changed VM.
};

/// Counters of the use of the platform.
struct platform_client_stats
{
    std::uint64_t reads = 0;    ///< Sent.
    std::uint64_t writes = 0;   ///< Sent.
    std::uint64_t failed = 0;   ///< Ended unknown.
    std::uint64_t rejected = 0; ///< Not sent: over the cap or breaker open.
};

/// Calls the platform's services: time limits, a cap on the rate, a circuit
/// breaker. It never repeats a call; whoever called knows what a repeat means.
class platform_client final : public table_service
{
public:
    /// @param io Runs the calls.
    /// @param clock Of this process; outlives the client.
    /// @param settings Limits.
    platform_client(boost::asio::io_context& io, const clock_source& clock,
                    const platform_client_settings& settings);

    /// @param since A revision that was told before, or 0 for all.
    /// @param done Told the changes.
    void list_vms(std::uint64_t since, reader<vm_changes> done);

    void read_row(const std::string& key, reader<table_row> done) override;
    void transact(const table_transaction& change, writer done) override;

    /// @param name An object.
    /// @param content Text.
    /// @param done Told whether it was stored.
    void put_object(const std::string& name, std::string content, writer done);

    /// @param name An object.
    /// @param done Told its content.
    void read_object(const std::string& name, reader<std::string> done);

    /// @param prefix Start of the names.
    /// @param done Told the names.
    void list_objects(const std::string& prefix,
                      reader<std::vector<std::string>> done);

    /// @return Whether the last calls failed and none has worked since.
    bool is_unavailable() const { return breaker_.has_tripped(); }

    /// @return Counters.
    const platform_client_stats& stats() const { return stats_; }

    /// @param page Gets the metrics of the client.
    void collect(metric_page& page) const;

private:
    /// A call's end: its outcome and, where there is one, its answer.
    using raw_handler = std::function<void(platform_outcome, http_response)>;

    void call(http_request request, bool is_write, raw_handler done);
    platform_outcome classify(const http_result& end);

    const clock_source& clock_;         ///< Of this process.
    platform_client_settings settings_; ///< Limits.
    std::unique_ptr<http_client> http_; ///< Its connections.
    circuit_breaker breaker_;           ///< Leaves it alone.
    token_bucket read_bucket_;          ///< Cap.
    token_bucket write_bucket_;         ///< Cap.
    platform_client_stats stats_;       ///< Counters.
};

} // namespace glenhollow

#endif
