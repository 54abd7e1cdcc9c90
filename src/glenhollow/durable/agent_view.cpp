#include "glenhollow/durable/agent_view.hpp"

#include <algorithm>

namespace glenhollow
{

namespace
{

constexpr double pace_weight = 0.05;
constexpr double min_pace = 0.2;
constexpr double max_pace = 20.0;

} // namespace

void agent_view::attached(const server_report& report)
{
    linked_ = true;
    if (report.account.incarnation() != report_.account.incarnation())
        pace_ = 1.0; // The new backend server may be of another kind.
    report_ = report;
    in_flight_.clear();
    granted_.clear();
    pending_ = {};
    reserved_ = {};
    batches_ = 0;
    adopted.clear();
    outbox = {};
}

void agent_view::detached()
{
    linked_ = false;
    adopted.clear();
    outbox = {};
    reserved_ = {};
    in_flight_.clear();
    granted_.clear();
    pending_ = {};
}

void agent_view::reported(const server_report& report)
{
    auto account = std::move(report_.account);
    report_ = report;
    if (!report.has_account)
    {
        account.phase = report.account.phase;
        report_.account = std::move(account);
    }
    else if (account.incarnation() != report.account.incarnation())
    {
        pace_ = 1.0;
    }
    while (!in_flight_.empty() && in_flight_.front().number <= report.received)
    {
        pending_.subtract(in_flight_.front().needs);
        in_flight_.pop_front();
    }
    for (const auto number : report.granted)
        revoke(number);
}

void agent_view::grant(std::uint32_t number, const resources& needs,
                       instant now)
{
    granted_[number] = {needs, now};
    pending_.add(needs);
}

void agent_view::revoke(std::uint32_t number)
{
    const auto known = granted_.find(number);
    if (known == granted_.end())
        return;
    pending_.subtract(known->second.needs);
    granted_.erase(known);
}

std::optional<duration> agent_view::grant_age(std::uint32_t number,
                                              instant now) const
{
    const auto known = granted_.find(number);
    if (known == granted_.end())
        return std::nullopt;
    return now - known->second.granted_at;
}

bool agent_view::blocked(entry_number entry, instant now) const
{
    const auto known = blocked_.find(entry);
    return known != blocked_.end() && now < known->second;
}

void agent_view::sent(const resources& needs)
{
    reserved_ = {};
    in_flight_.push_back({++batches_, needs});
}

resources agent_view::used() const
{
    auto total = report_.load.used;
    total.add(pending_);
    return total;
}

bool agent_view::has_room(const resources& needs) const
{
    return used().can_fit(needs, report_.account.capacity);
}

bool agent_view::has_label(const std::string& label) const
{
    const auto& labels = report_.account.labels;
    return label.empty() ||
           std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool agent_view::record_end(bool bad, instant now,
                            const outlier_ejection_settings& settings)
{
    average_bad_ends_ +=
        settings.weight * ((bad ? 1.0 : 0.0) - average_bad_ends_);
    ++ends_;
    if (!bad && ends_ > settings.min_ends)
        ejections_ = 0;
    if (!bad || ends_ < settings.min_ends ||
        average_bad_ends_ < settings.ejection_threshold || ejected(now))
        return false;
    ++ejections_;
    ejected_until_ = now + std::min(settings.base_ejection * ejections_,
                                    settings.max_ejection);
    // One more bad end ejects the server again, good ends clear it.
    average_bad_ends_ = settings.ejection_threshold;
    return true;
}

void agent_view::record_pace(double ratio)
{
    const double bounded = std::clamp(ratio, min_pace, max_pace);
    pace_ += pace_weight * (bounded - pace_);
}

} // namespace glenhollow
