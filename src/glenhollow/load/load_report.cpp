#include "glenhollow/load/load_report.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto place = static_cast<std::size_t>(
        std::lround(q * static_cast<double>(values.size() - 1)));
    return values[place];
}

double mean(const std::vector<double>& values)
{
    if (values.empty())
        return 0;
    return std::accumulate(values.begin(), values.end(), 0.0) /
           static_cast<double>(values.size());
}

double per_thousand(double messages, double tasks)
{
    return tasks > 0 ? messages * 1000 / tasks : 0;
}

json::object to_object(const load_totals& totals)
{
    double wasted = 0;
    json::object by_kind;
    for (const auto& [kind, messages] : totals.wasted)
    {
        wasted += messages;
        by_kind[kind] = messages;
    }
    json::object reasons;
    for (const auto& [name, count] : totals.reasons)
        reasons[name] = count;
    json::object all{
        {"jobs", totals.jobs},
        {"complete", totals.complete},
        {"failed", totals.failed},
        {"refused", totals.refused},
        {"lost", totals.lost},
        {"partial", totals.partial},
        {"crossed", totals.crossed},
        {"differing", totals.differing},
        {"refused_but_ran", totals.refused_but_ran},
        {"resubmitted", totals.resubmitted},
        {"tasks_complete", totals.tasks_complete},
        {"slowdown_mean", mean(totals.slowdowns)},
        {"slowdown_p50", quantile(totals.slowdowns, 0.5)},
        {"slowdown_p99", quantile(totals.slowdowns, 0.99)},
        {"latency_ms_p50", quantile(totals.latencies_ms, 0.5)},
        {"latency_ms_p99", quantile(totals.latencies_ms, 0.99)},
        {"latency_ms_max", quantile(totals.latencies_ms, 1)},
        {"wasted_per_1000_tasks", per_thousand(wasted, totals.tasks_started)},
        {"wasted_by_kind", std::move(by_kind)},
        {"reasons", std::move(reasons)},
        {"slots", totals.slots},
        {"elapsed_s", totals.elapsed_s}};
    // Without runners to ask nobody has counted.
    if (totals.starts_counted)
        all["started_twice"] = totals.started_twice;
    else
        all["started_twice"] = nullptr;
    if (!totals.timeline.empty())
    {
        json::array bins;
        for (const auto tasks : totals.timeline)
            bins.push_back(tasks);
        all["timeline"] = std::move(bins);
    }
    return all;
}

} // namespace

std::string to_json(const load_totals& totals)
{
    return json::serialize(to_object(totals));
}

std::string to_text(const load_totals& totals)
{
    std::string text;
    for (const auto& field : to_object(totals))
        text += std::string(field.key()) + ": " +
                json::serialize(field.value()) + "\n";
    return text;
}

bool promise_broken(const load_totals& totals)
{
    return totals.partial + totals.crossed + totals.differing +
               totals.started_twice + totals.refused_but_ran + totals.lost >
           0;
}

} // namespace glenhollow
