#include "glenhollow/http/intake_limits.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace glenhollow
{

namespace
{

constexpr std::size_t megabyte = 1UL << 20;

/// Program, libraries, links, queues and two configurations.
constexpr std::size_t program_mb = 64;

/// A request with its connection, its job and the tasks of it, body apart.
constexpr std::size_t bytes_a_request = 16UL << 10;

/// As text, and as the job that is made of it.
constexpr std::size_t copies_of_a_body = 2;

/// A task of a job that has not ended, with its place in the queue.
constexpr std::size_t bytes_a_task = 600;

/// Of what the program leaves, for the tasks of open jobs.
constexpr std::size_t share_of_tasks = 4;

/// Kept for files, and for links to agents, entries and the store.
constexpr std::size_t kept_for_files = 200;
constexpr std::size_t kept_for_links = 300;

/// Packets that wait longer at the link count as a choked machine.
constexpr double longest_link_queue_s = 0.5;

/// Of what is in hand, before a caller comes back: those that come back at the
/// first end would find no room again.
constexpr double share_to_end = 1.0 / 16;

/// No body may take more of the memory.
constexpr std::size_t largest_share = 8;

constexpr duration rate_window = seconds{1};
constexpr duration calm_after = seconds{1};
constexpr duration longest_retry = seconds{10};

} // namespace

intake_settings intake_settings::within(const intake_resources& given)
{
    intake_settings out;
    if (given.memory_mb != 0)
    {
        // Half of what the program leaves: allocators keep some for themselves.
        const auto left =
            given.memory_mb > program_mb ? given.memory_mb - program_mb : 0;
        out.max_bytes = std::max<std::size_t>(4, left / 2) * megabyte;
        out.max_open_tasks = std::max<std::size_t>(4, left / share_of_tasks) *
                             megabyte / bytes_a_task;
        out.max_body_bytes =
            std::min(out.max_body_bytes,
                     out.max_bytes / largest_share / copies_of_a_body);
    }
    if (given.descriptors != 0)
    {
        const auto kept = kept_for_files + kept_for_links;
        const auto least = given.descriptors / 2;
        out.max_connections = given.descriptors > kept
                                  ? std::max(least, given.descriptors - kept)
                                  : least;
    }
    if (given.link_mbps > 0)
    {
        const auto bytes_a_s = given.link_mbps * 1e6 / 8;
        out.max_reading =
            static_cast<std::size_t>(bytes_a_s * longest_link_queue_s);
    }
    return out;
}

intake_place::intake_place(std::shared_ptr<intake_limits> limits,
                           std::size_t bytes)
    : limits_(std::move(limits)), bytes_(bytes)
{
}

intake_place& intake_place::operator=(intake_place&& other) noexcept
{
    std::swap(limits_, other.limits_);
    std::swap(bytes_, other.bytes_);
    return *this;
}

intake_place::~intake_place()
{
    if (limits_)
        limits_->release(bytes_);
}

link_place::link_place(std::shared_ptr<intake_limits> limits, std::size_t bytes)
    : limits_(std::move(limits)), bytes_(bytes)
{
}

link_place::~link_place()
{
    limits_->leave_link(*this);
}

intake_limits::intake_limits(const clock_source& clock,
                             const intake_settings& settings)
    : clock_(clock), settings_(settings), window_(clock.now())
{
}

std::size_t intake_limits::cost_of(std::size_t body_bytes)
{
    return bytes_a_request + copies_of_a_body * body_bytes;
}

std::optional<intake_bound> intake_limits::bound_reached(std::size_t cost) const
{
    if (requests_ >= settings_.max_requests)
        return intake_bound::requests;
    // One request always fits, however large it is.
    if (bytes_ != 0 && bytes_ + cost > settings_.max_bytes)
        return intake_bound::memory;
    return std::nullopt;
}

std::optional<intake_refusal>
intake_limits::stands_against(std::size_t body_bytes)
{
    const auto reached = bound_reached(cost_of(body_bytes));
    if (!reached)
        return std::nullopt;
    return refuse(*reached);
}

std::variant<intake_place, intake_refusal>
intake_limits::admit(std::size_t body_bytes)
{
    const auto cost = cost_of(body_bytes);
    if (const auto reached = bound_reached(cost))
        return refuse(*reached);
    note_calm();
    ++requests_;
    bytes_ += cost;
    ++stats_.admitted;
    stats_.most_requests = std::max(stats_.most_requests, requests_);
    stats_.most_bytes = std::max(stats_.most_bytes, bytes_);
    return intake_place(shared_from_this(), cost);
}

void intake_limits::release(std::size_t bytes)
{
    assert(requests_ > 0 && bytes_ >= bytes);
    --requests_;
    bytes_ -= bytes;
    note_end();
}

/// The rate of the last full second, and none when that is long ago.
void intake_limits::note_end()
{
    const auto now = clock_.now();
    const auto length = now - window_;
    if (length >= rate_window)
    {
        rate_ = static_cast<double>(ends_) /
                std::chrono::duration<double>(length).count();
        ends_ = 0;
        window_ = now;
    }
    ++ends_;
}

double intake_limits::ends_per_s() const
{
    const auto length = clock_.now() - window_;
    if (length < rate_window)
        return std::max(rate_, static_cast<double>(ends_));
    return static_cast<double>(ends_) /
           std::chrono::duration<double>(length).count();
}

/// One line when refusing begins, and a time to come back.
intake_refusal intake_limits::refuse(intake_bound bound)
{
    const auto now = clock_.now();
    ++stats_.refused[static_cast<std::size_t>(bound)];
    last_refusal_ = now;
    if (!std::exchange(refusing_, true))
    {
        refusing_since_ = now;
        refused_in_row_ = 0;
        log_change(log_level::warning, "intake_refusing",
                   {{"bound", to_name(bound)},
                    {"requests", requests_},
                    {"bytes", bytes_},
                    {"reading", reading_},
                    {"ends_per_s", static_cast<std::int64_t>(ends_per_s())}});
    }
    ++refused_in_row_;
    const auto ahead = 1 + static_cast<double>(requests_) * share_to_end;
    const auto rate = ends_per_s();
    const auto wait = rate > 0 ? std::chrono::duration<double>(ahead / rate)
                               : std::chrono::duration<double>(longest_retry);
    return {bound, std::clamp(std::chrono::duration_cast<duration>(wait),
                              duration{seconds{1}}, longest_retry)};
}

/// One line when a while has passed without a refusal.
void intake_limits::note_calm()
{
    if (!refusing_ || clock_.now() - last_refusal_ < calm_after)
        return;
    refusing_ = false;
    const auto length = last_refusal_ - refusing_since_;
    log_change(log_level::info, "intake_resumed",
               {{"refused", refused_in_row_},
                {"refusing_ms",
                 std::chrono::duration_cast<milliseconds>(length).count()}});
}

/// One body always fits, however slow the link is.
std::unique_ptr<link_place> intake_limits::want_link(std::size_t body_bytes)
{
    auto place = std::make_unique<link_place>(shared_from_this(), body_bytes);
    waiting_.push_back(place.get());
    review_link();
    stats_.waited += place->granted_ ? 0 : 1;
    return place;
}

void intake_limits::grant_in_turn()
{
    while (!waiting_.empty())
    {
        auto* first = waiting_.front();
        if (reading_ != 0 && (reading_ > settings_.max_reading ||
                              first->bytes_ > settings_.max_reading - reading_))
            return;
        waiting_.pop_front();
        granted_.push_back(first);
        reading_ += first->bytes_;
        first->granted_ = true;
        first->granted_at_ = clock_.now();
        if (const auto told = std::exchange(first->told_, nullptr))
            told();
    }
}

void intake_limits::review_link()
{
    const auto now = clock_.now();
    while (!granted_.empty() &&
           now - granted_.front()->granted_at_ >= settings_.link_hold)
    {
        reading_ -= std::exchange(granted_.front()->bytes_, 0);
        granted_.pop_front();
    }
    grant_in_turn();
}

void intake_limits::leave_link(link_place& place)
{
    if (place.granted_)
        reading_ -= place.bytes_;
    granted_.remove(&place);
    waiting_.remove(&place);
    grant_in_turn();
}

void intake_limits::collect(metric_page& page)
{
    note_calm();
    page.counter("intake_admitted_total", "Requests with work taken in",
                 static_cast<double>(stats_.admitted));
    page.counter("intake_waited_total", "Of these, for a place on the link",
                 static_cast<double>(stats_.waited));
    for (std::size_t i = 0; i < stats_.refused.size(); ++i)
    {
        const auto bound = static_cast<intake_bound>(i);
        page.counter("intake_refused_total", "Not taken in, by bound",
                     static_cast<double>(stats_.refused[i]),
                     "bound=\"" + std::string(to_name(bound)) + "\"");
    }
    page.gauge("intake_requests", "In hand", static_cast<double>(requests_));
    page.gauge("intake_requests_most", "In hand at once so far",
               static_cast<double>(stats_.most_requests));
    page.gauge("intake_bytes", "That stand for these",
               static_cast<double>(bytes_));
    page.gauge("intake_bytes_most", "So far",
               static_cast<double>(stats_.most_bytes));
    page.gauge("intake_bytes_allowed", "Bound of memory",
               static_cast<double>(settings_.max_bytes));
    page.gauge("intake_reading_bytes", "Of bodies on their way",
               static_cast<double>(reading_));
}

} // namespace glenhollow
