#include "glenhollow/explain/night_report.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

std::string string_at(const json::object& from, std::string_view key)
{
    const auto* value = from.if_contains(key);
    return value && value->is_string() ? value->get_string().c_str() : "";
}

} // namespace

std::string report_line::to_json() const
{
    json::object line{{"at", wall},
                      {"entry", entry},
                      {"decision", to_name(kind)},
                      {"reason", to_name(why)},
                      {"verdict", to_name(what)}};
    const auto add = [&line](std::string_view key, const std::string& value)
    {
        if (!value.empty())
            line[key] = value;
    };
    add("submission", submission);
    add("runner", runner);
    add("by", by);
    add("detail", detail);
    return json::serialize(line);
}

std::optional<report_line> report_line::from_json(const std::string& text)
{
    boost::system::error_code ec;
    const auto parsed = json::parse(text, ec);
    if (ec || !parsed.is_object())
        return std::nullopt;
    const auto& from = parsed.get_object();
    const auto kind = from_name<decision_kind>(string_at(from, "decision"));
    const auto why = from_name<reason>(string_at(from, "reason"));
    const auto what = from_name<verdict>(string_at(from, "verdict"));
    const auto* at = from.if_contains("at");
    if (!kind || !why || !what || !at || !at->is_number())
        return std::nullopt;
    return report_line{at->to_number<std::int64_t>(),
                       string_at(from, "entry"),
                       *kind,
                       *why,
                       *what,
                       string_at(from, "submission"),
                       string_at(from, "runner"),
                       string_at(from, "by"),
                       string_at(from, "detail")};
}

void night_report::add(report_line line)
{
    lines_.push_back(std::move(line));
    enforce_limit();
}

void night_report::merge(const night_report& other)
{
    for (const auto& [key, times] : other.summaries_)
        summaries_[key] += times;
    summarized_lines_ += other.summarized_lines_;
    other.for_each([this](const report_line& line) { add(line); });
}

void night_report::enforce_limit()
{
    while (lines_.size() + batch_.size() > settings_.max_lines &&
           !lines_.empty())
    {
        const auto& oldest = lines_.front();
        ++summaries_[{oldest.kind, oldest.why}];
        ++summarized_lines_;
        lines_.pop_front();
    }
}

std::string night_report::take_batch()
{
    failed();
    const auto count = std::min(lines_.size(), settings_.max_lines_per_object);
    std::string content;
    batch_summaries_ = std::exchange(summaries_, {});
    for (const auto& [key, times] : batch_summaries_)
    {
        report_line sum;
        sum.wall = wall_nanoseconds();
        sum.kind = key.kind;
        sum.why = key.why;
        sum.detail = std::to_string(times) + " older lines of this kind";
        content += sum.to_json() + "\n";
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        content += lines_.front().to_json() + "\n";
        batch_.push_back(std::move(lines_.front()));
        lines_.pop_front();
    }
    return content;
}

void night_report::written()
{
    batch_.clear();
    batch_summaries_.clear();
}

void night_report::failed()
{
    for (auto line = batch_.rbegin(); line != batch_.rend(); ++line)
        lines_.push_front(std::move(*line));
    batch_.clear();
    for (const auto& [key, times] : batch_summaries_)
        summaries_[key] += times;
    batch_summaries_.clear();
    enforce_limit();
}

void night_report::for_each(
    const std::function<void(const report_line&)>& visit) const
{
    std::for_each(batch_.begin(), batch_.end(), visit);
    std::for_each(lines_.begin(), lines_.end(), visit);
}

} // namespace glenhollow
