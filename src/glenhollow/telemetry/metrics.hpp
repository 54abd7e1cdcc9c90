#ifndef GLENHOLLOW_TELEMETRY_METRICS_HPP
#define GLENHOLLOW_TELEMETRY_METRICS_HPP

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace glenhollow
{

/// Running quantiles of a length of time, in constant memory.
class latency_summary final
{
public:
    latency_summary();
    ~latency_summary();
    latency_summary(latency_summary&&) noexcept;

    /// @param seconds One more length of time.
    void add(double seconds);

    /// @param q 0.5, 0.9 or 0.99.
    /// @return The estimated quantile in seconds, 0 with nothing added.
    double quantile(double q) const;

    /// @return How many were added.
    std::size_t count() const;

    /// @return Their sum in seconds.
    double sum() const;

private:
    struct state;
    std::unique_ptr<state> state_; ///< Keeps the accumulators out of headers.
};

/// One page of metrics in Prometheus text format. Threads fill pages of their
/// own; merge() joins them.
class metric_page final
{
public:
    /// Adds to a counter.
    /// @param name Metric name without prefix, with unit.
    /// @param help What it counts.
    /// @param value The count.
    /// @param labels Rendered labels, such as `kind="ping"`, or empty.
    void counter(std::string_view name, std::string_view help, double value,
                 std::string_view labels = {});

    /// Adds to a gauge.
    /// @param name Metric name without prefix, with unit.
    /// @param help What it shows.
    /// @param value The value.
    /// @param labels Rendered labels or empty.
    void gauge(std::string_view name, std::string_view help, double value,
               std::string_view labels = {});

    /// Adds quantiles, count and sum.
    /// @param name Metric name without prefix, with unit.
    /// @param help What it measures.
    /// @param summary The measured lengths.
    /// @param labels Rendered labels or empty.
    void summary(std::string_view name, std::string_view help,
                 const latency_summary& summary, std::string_view labels = {});

    /// Adds another page to this one; equal series are summed, quantiles keep
    /// the larger.
    /// @param other The page of another thread.
    void merge(const metric_page& other);

    /// @return The page as Prometheus text.
    std::string render() const;

private:
    /// All series of one metric.
    struct family
    {
        std::string type;                     ///< counter, gauge or summary.
        std::string help;                     ///< One line.
        std::map<std::string, double> series; ///< Value by suffix and labels.
    };

    void add(std::string_view name, std::string_view type,
             std::string_view help, double value, const std::string& series);

    std::map<std::string, family, std::less<>> families_; ///< By name.
};

} // namespace glenhollow

#endif
