#include "glenhollow/telemetry/metrics.hpp"

#include <sstream> // extended_p_square_quantile.hpp needs it

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace glenhollow
{

namespace acc = boost::accumulators;

namespace
{

constexpr std::array<double, 7> kept_quantiles{0.25, 0.5,  0.75, 0.9,
                                               0.95, 0.99, 0.999};
constexpr std::array<double, 3> shown_quantiles{0.5, 0.9, 0.99};
constexpr std::string_view prefix = "glenhollow_";

using latency_set =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

std::string number_text(double value)
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%.9g", value);
    return text.data();
}

std::string in_braces(std::string_view labels)
{
    if (labels.empty())
        return {};
    return "{" + std::string(labels) + "}";
}

} // namespace

/// The estimate needs as many samples as it has markers.
constexpr std::size_t least_samples = 2 * kept_quantiles.size() + 3;

/// The accumulators, and the first samples, that are too few for them.
struct latency_summary::state
{
    latency_set set{acc::extended_p_square_probabilities = kept_quantiles};
    std::vector<double> first; ///< At most least_samples.
};

latency_summary::latency_summary() : state_(std::make_unique<state>()) {}
latency_summary::~latency_summary() = default;
latency_summary::latency_summary(latency_summary&&) noexcept = default;

void latency_summary::add(double seconds)
{
    state_->set(seconds);
    if (state_->first.size() < least_samples)
        state_->first.push_back(seconds);
}

double latency_summary::quantile(double q) const
{
    if (count() == 0)
        return 0;
    if (count() > least_samples)
        return acc::quantile(state_->set, acc::quantile_probability = q);
    auto sorted = state_->first;
    std::sort(sorted.begin(), sorted.end());
    const auto place = static_cast<std::size_t>(
        std::lround(q * static_cast<double>(sorted.size() - 1)));
    return sorted[place];
}

std::size_t latency_summary::count() const
{
    return acc::count(state_->set);
}

double latency_summary::sum() const
{
    return acc::sum(state_->set);
}

void metric_page::add(std::string_view name, std::string_view type,
                      std::string_view help, double value,
                      const std::string& series)
{
    auto& kept = families_[std::string(name)];
    kept.type = type;
    kept.help = help;
    kept.series[series] += value;
}

void metric_page::counter(std::string_view name, std::string_view help,
                          double value, std::string_view labels)
{
    add(name, "counter", help, value, in_braces(labels));
}

void metric_page::gauge(std::string_view name, std::string_view help,
                        double value, std::string_view labels)
{
    add(name, "gauge", help, value, in_braces(labels));
}

void metric_page::summary(std::string_view name, std::string_view help,
                          const latency_summary& summary,
                          std::string_view labels)
{
    const std::string more = labels.empty() ? "" : "," + std::string(labels);
    for (const double q : shown_quantiles)
        add(name, "summary", help, summary.quantile(q),
            "{quantile=\"" + number_text(q) + "\"" + more + "}");
    add(name, "summary", help, summary.sum(), "_sum" + in_braces(labels));
    add(name, "summary", help, static_cast<double>(summary.count()),
        "_count" + in_braces(labels));
}

void metric_page::merge(const metric_page& other)
{
    for (const auto& [name, theirs] : other.families_)
    {
        auto& ours = families_[name];
        ours.type = theirs.type;
        ours.help = theirs.help;
        for (const auto& [series, value] : theirs.series)
        {
            auto& kept = ours.series[series];
            // Quantiles cannot be added; the larger one is the safe one.
            const bool is_quantile = series.starts_with("{quantile");
            kept = is_quantile ? std::max(kept, value) : kept + value;
        }
    }
}

std::string metric_page::render() const
{
    std::string page;
    for (const auto& [name, kept] : families_)
    {
        const std::string full = std::string(prefix) + name;
        page += "# HELP " + full + " " + kept.help + "\n";
        page += "# TYPE " + full + " " + kept.type + "\n";
        for (const auto& [series, value] : kept.series)
            page += full + series + " " + number_text(value) + "\n";
    }
    return page;
}

} // namespace glenhollow
