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

/// Kinds of messages that carry no start, result or submission.
enum class waste_kind : std::uint8_t
{
    ping,           ///< Heartbeats and probes of agents.
    hello,          ///< Links that are opened.
    refused_start,  ///< Starts answered not_run.
    repeated_start, ///< Starts sent again after a broken link.
    exchange,       ///< Reports between entries.
    configuration,  ///< Configuration on its way.
    handover        ///< Kept answers of a stopping entry.
};

template <>
struct name_table<waste_kind>
{
    static constexpr std::array<std::string_view, 7> names{
        "ping",     "hello",         "refused_start", "repeated_start",
        "exchange", "configuration", "handover"};
};

/// What causes each kind, for operators.
inline constexpr std::array<std::string_view, 7> waste_causes{
    "idle links and silent agents",
    "links opened for the first time or again",
    "agents that were full, draining or fenced",
    "links that broke with starts under way",
    "news between entries: demand, versions, stops",
    "changes of the configuration, restarts",
    "planned stops of entries"};

/// Counts of messages at one time.
struct waste_counts
{
    std::array<std::uint64_t, name_table<waste_kind>::names.size()>
        by_kind{};           ///< Messages of each kind.
    std::uint64_t tasks = 0; ///< Results that came back.

    /// @param kind Which.
    /// @return Its count.
    std::uint64_t& operator[](waste_kind kind)
    {
        return by_kind[static_cast<std::size_t>(kind)];
    }
};

/// Message counts over the last day, to explain a night. Bounded.
class waste_history final
{
public:
    /// @param now The time.
    /// @param counts Totals since the start.
    void add(instant now, const waste_counts& counts)
    {
        samples_.push_back({now, counts});
        if (samples_.size() > max_samples)
            samples_.pop_front();
    }

    /// @param now The time.
    /// @param since How far back; nothing: since the start.
    /// @return What came in that time, as far as it is known.
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
    /// A day of samples, one each 10 s.
    static constexpr std::size_t max_samples = 8640;

    /// Totals at one time.
    struct sample
    {
        instant at{};        ///< When.
        waste_counts counts; ///< Since the start.
    };

    std::deque<sample> samples_; ///< Oldest first.
};

} // namespace glenhollow

#endif
