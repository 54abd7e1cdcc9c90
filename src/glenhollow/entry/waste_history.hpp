#ifndef GLENHOLLOW_ENTRY_WASTE_HISTORY_HPP
#define GLENHOLLOW_ENTRY_WASTE_HISTORY_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace glenhollow
{

/// Kinds of overhead messages: messages that carry no start, result or
/// submission.
enum class waste_kind : std::uint8_t
{
    ping,           ///< Heartbeats and probes on agent links.
    hello,          ///< Handshakes of newly opened agent links.
    refused_start,  ///< Starts that an agent answered with `not_run`.
    repeated_start, ///< Starts sent again after a link broke.
    exchange,       ///< Reports between entries.
    configuration,  ///< Transfers of the configuration.
    handover        ///< Handovers of kept answers by a stopping entry.
};

template <>
struct name_table<waste_kind>
{
    static constexpr std::array<std::string_view, 7> names{
        "ping",     "hello",         "refused_start", "repeated_start",
        "exchange", "configuration", "handover"};
};

/// Cause of each kind, shown to operators.
inline constexpr std::array<std::string_view, 7> waste_causes{
    "idle links and silent agents",
    "links opened for the first time or again",
    "agents that were full, draining or fenced",
    "links that broke with starts under way",
    "news between entries: demand, versions, stops",
    "changes of the configuration, restarts",
    "planned stops of entries"};

/// Message and task counts at one time.
struct waste_counts
{
    std::array<std::uint64_t, name_table<waste_kind>::names.size()>
        by_kind{};           ///< Overhead messages by kind.
    std::uint64_t tasks = 0; ///< Task starts sent.

    /// @return The count of a kind.
    std::uint64_t& operator[](waste_kind kind)
    {
        return by_kind[static_cast<std::size_t>(kind)];
    }
};

/// Samples of the message counts over the last day.
class waste_history final
{
public:
    /// Adds a sample and drops the oldest one if there are too many.
    /// @param now Current time.
    /// @param counts Totals since the process started.
    void add(instant now, const waste_counts& counts)
    {
        samples_.push_back({now, counts});
        if (samples_.size() > max_samples)
            samples_.pop_front();
    }

    /// @param now Current time.
    /// @param since Length of the period up to now; if empty, the period since
    /// the process started.
    /// @return The counts in the period, limited to the known samples.
    waste_counts counts_within(instant now, std::optional<duration> since) const
    {
        if (samples_.empty())
            return {};
        waste_counts result = samples_.back().counts;
        if (!since)
            return result;
        waste_counts baseline;
        for (const auto& sample : samples_)
        {
            if (sample.at > now - *since)
                break;
            baseline = sample.counts;
        }
        for (std::size_t i = 0; i < result.by_kind.size(); ++i)
            result.by_kind[i] -= baseline.by_kind[i];
        result.tasks -= baseline.tasks;
        return result;
    }

private:
    /// Number of samples in one day at one every 10 s.
    static constexpr std::size_t max_samples = 8640;

    /// Totals at one time.
    struct sample
    {
        instant at{};        ///< Time of the sample.
        waste_counts counts; ///< Totals since the process started.
    };

    std::deque<sample> samples_; ///< Samples, oldest first.
};

} // namespace glenhollow

#endif
