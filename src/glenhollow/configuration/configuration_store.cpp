#include "glenhollow/configuration/configuration_store.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

constexpr const char* head_key = "config/head";
constexpr const char* values_key = "config/values";
constexpr const char* change_prefix = "config/change/";

std::string format_time(std::int64_t when)
{
    const std::time_t time = when;
    std::tm parts{};
    ::gmtime_r(&time, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

} // namespace

std::string change_answer::text() const
{
    switch (state)
    {
    case change_state::accepted:
        return "accepted version " + std::to_string(version);
    case change_state::refused:
        return "refused: " + why;
    case change_state::unknown:
        break;
    }
    return "unknown yet, change " + id;
}

configuration_store::configuration_store(
    table_service& table, const clock_source& clock,
    const configuration_store_settings& settings, std::uint64_t seed)
    : table_(table), clock_(clock), settings_(settings), random_(seed)
{
}

void configuration_store::apply_if_newer(const configuration& newer)
{
    if (newer.version() <= current_.version())
        return;
    current_ = newer;
    if (changed_)
        changed_(current_);
}

bool configuration_store::offer(const configuration& offered)
{
    const bool newer = offered.version() > current_.version();
    apply_if_newer(offered);
    return newer;
}

configuration_store::head configuration_store::to_head(const table_row& row)
{
    boost::system::error_code ec;
    const auto parsed = json::parse(row.value, ec);
    head at;
    at.row_version = row.version;
    if (!ec && parsed.is_object() && parsed.get_object().contains("version"))
        at.version = parsed.at("version").to_number<std::uint64_t>();
    return at;
}

void configuration_store::poll()
{
    if (polling_)
        return;
    polling_ = true;
    table_.read_row(head_key,
                    [this](platform_outcome outcome, const table_row& row)
                    {
                        polling_ = false;
                        if (outcome == platform_outcome::done &&
                            to_head(row).version > current_.version())
                            read_values([](platform_outcome) {});
                    });
}

void configuration_store::read_values(
    std::function<void(platform_outcome)> done)
{
    table_.read_row(values_key,
                    [this, done = std::move(done)](platform_outcome outcome,
                                                   const table_row& row)
                    {
                        if (outcome == platform_outcome::done)
                        {
                            const auto read =
                                configuration::from_json(row.value);
                            if (read)
                                apply_if_newer(read.value());
                            else
                                outcome = platform_outcome::unknown;
                        }
                        done(outcome);
                    });
}

void configuration_store::change(std::map<std::string, std::string> rows,
                                 std::string by, std::string statement,
                                 answer_handler done)
{
    auto open = std::make_shared<pending_change>();
    std::array<char, 20> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx",
                  static_cast<unsigned long long>(random_()));
    open->change.id = settings_.entry + "." + hex.data();
    open->change.rows = std::move(rows);
    open->change.by = std::move(by);
    open->change.when = wall_nanoseconds() / 1'000'000'000;
    open->change.statement = std::move(statement);
    open->done = std::move(done);
    open->submitted_at = clock_.now();
    open->backoff = settings_.first_backoff;
    queue_.push_back(open);
    process_queue();
}

void configuration_store::process_queue()
{
    if (queue_.empty() || queue_.front()->busy)
        return;
    const auto open = queue_.front();
    if (open->retry_at > clock_.now())
        return;
    open->busy = true;
    // A transaction without a response is resent unchanged: its condition
    // allows at most one commit.
    if (open->in_doubt)
        send(open);
    else
        read_head(open);
}

void configuration_store::read_head(const std::shared_ptr<pending_change>& open)
{
    table_.read_row(
        head_key,
        [this, open](platform_outcome outcome, const table_row& row)
        {
            const bool known = outcome == platform_outcome::done ||
                               outcome == platform_outcome::missing;
            // Nothing was written yet, so the change is refused, not unknown.
            if (!known)
                return answer(open, {change_state::refused, open->change.id, 0,
                                     "the platform's table is away; nothing "
                                     "was changed"});
            const auto at =
                outcome == platform_outcome::missing ? head{} : to_head(row);
            if (at.version <= current_.version())
                return prepare(open, at);
            read_values(
                [this, open, at](platform_outcome values)
                {
                    if (values == platform_outcome::done &&
                        current_.version() >= at.version)
                        return prepare(open, at);
                    schedule_retry(open);
                });
        });
}

std::optional<std::string>
configuration_store::find_conflict(const pending_change& open) const
{
    for (const auto& [key, value] : open.change.rows)
    {
        const auto& rows = current_.rows();
        const auto known = rows.find(key);
        if (known == rows.end() || known->second.version <= *open.base_version)
            continue;
        const auto& row = known->second;
        return "conflict with version " + std::to_string(row.version) + " by " +
               row.by + " at " + format_time(row.when) + ": " + key +
               " is now " + (row.value.empty() ? "unset" : row.value);
    }
    return std::nullopt;
}

void configuration_store::prepare(const std::shared_ptr<pending_change>& open,
                                  const head& at)
{
    // Only changes committed after submission count as conflicts, not older
    // ones that this entry had not read yet.
    if (!open->base_version)
        open->base_version = current_.version();
    if (const auto conflict = find_conflict(*open))
        return answer(open,
                      {change_state::refused, open->change.id, 0, *conflict});
    // The values may be newer than the head that was read before them.
    if (at.version < current_.version())
        return schedule_retry(open);
    const auto next = current_.with(open->change);
    open->sent_version = next.version();
    const std::string change_record =
        json::serialize(json::object{{"version", next.version()},
                                     {"change", open->change.id},
                                     {"by", open->change.by},
                                     {"when", open->change.when},
                                     {"statement", open->change.statement}});
    open->sent.conditions = {{head_key, at.row_version}};
    open->sent.writes = {{head_key, change_record},
                         {values_key, next.to_json()},
                         {change_prefix + open->change.id, change_record}};
    send(open);
}

void configuration_store::send(const std::shared_ptr<pending_change>& open)
{
    table_.transact(
        open->sent,
        [this, open](platform_outcome outcome)
        {
            switch (outcome)
            {
            case platform_outcome::done:
                return read_back(open);
            case platform_outcome::conflict:
                // Another change, or an earlier attempt of this one, was
                // committed.
                if (open->in_doubt)
                    return read_back(open);
                ++open->attempts;
                return schedule_retry(open);
            case platform_outcome::not_sent:
                if (!open->in_doubt)
                    return answer(open,
                                  {change_state::refused, open->change.id, 0,
                                   "the platform's table is away; nothing was "
                                   "changed"});
                return schedule_retry(open);
            case platform_outcome::missing:
            case platform_outcome::unknown:
                open->in_doubt = true;
                return schedule_retry(open);
            }
        });
}

void configuration_store::read_back(const std::shared_ptr<pending_change>& open)
{
    table_.read_row(change_prefix + open->change.id,
                    [this, open](platform_outcome outcome, const table_row& row)
                    {
                        if (outcome == platform_outcome::done)
                        {
                            const auto version = to_head(row).version;
                            // Later changes may have been committed since.
                            if (current_.version() + 1 == version)
                                apply_if_newer(current_.with(open->change));
                            else
                                poll();
                            return answer(open, {change_state::accepted,
                                                 open->change.id, version, ""});
                        }
                        if (outcome == platform_outcome::missing)
                        {
                            // The head changed without it, so the old
                            // transaction can no longer commit: a new
                            // attempt is safe.
                            open->in_doubt = false;
                            ++open->attempts;
                            return schedule_retry(open);
                        }
                        open->in_doubt = true;
                        schedule_retry(open);
                    });
}

void configuration_store::schedule_retry(
    const std::shared_ptr<pending_change>& open)
{
    open->busy = false;
    if (!open->in_doubt && open->attempts >= settings_.most_attempts)
        return answer(open, {change_state::refused, open->change.id, 0,
                             "conflict with other changes, " +
                                 std::to_string(open->attempts) + " times"});
    // Conflicts are retried soon, lost responses with exponential backoff.
    const auto bound =
        open->in_doubt ? open->backoff : settings_.first_backoff / 4;
    open->retry_at = clock_.now() + std::chrono::duration_cast<duration>(
                                        bound * uniform(random_));
    if (open->in_doubt)
        open->backoff = std::min(open->backoff * 2, settings_.longest_backoff);
}

void configuration_store::answer(const std::shared_ptr<pending_change>& open,
                                 change_answer answer)
{
    answers_[answer.id] = answer;
    answer_order_.push_back(answer.id);
    if (answer_order_.size() > settings_.max_remembered_answers)
    {
        answers_.erase(answer_order_.front());
        answer_order_.pop_front();
    }
    std::erase(queue_, open);
    if (open->done)
        open->done(answer);
    process_queue();
}

void configuration_store::tick()
{
    const instant now = clock_.now();
    for (const auto& open : queue_)
    {
        if (!open->done || now - open->submitted_at < settings_.answer_timeout)
            continue;
        // The operator is told `unknown`; retries continue.
        const auto done = std::move(open->done);
        open->done = nullptr;
        done({change_state::unknown, open->change.id, 0, ""});
    }
    process_queue();
}

void configuration_store::ask(const std::string& id, answer_handler done)
{
    const auto known = answers_.find(id);
    if (known != answers_.end())
        return done(known->second);
    const bool open =
        std::any_of(queue_.begin(), queue_.end(),
                    [&](const auto& one) { return one->change.id == id; });
    if (open)
        return done({change_state::unknown, id, 0, ""});
    table_.read_row(change_prefix + id,
                    [id, done = std::move(done)](platform_outcome outcome,
                                                 const table_row& row)
                    {
                        if (outcome == platform_outcome::done)
                            return done({change_state::accepted, id,
                                         to_head(row).version, ""});
                        if (outcome == platform_outcome::missing)
                            return done({change_state::refused, id, 0,
                                         "no such change took effect"});
                        done({change_state::unknown, id, 0, ""});
                    });
}

} // namespace glenhollow
