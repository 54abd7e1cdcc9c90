#ifndef GLENHOLLOW_HTTP_INTAKE_LIMITS_HPP
#define GLENHOLLOW_HTTP_INTAKE_LIMITS_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <variant>

namespace glenhollow
{

/// What stands against taking more in.
enum class intake_bound
{
    connections, ///< Descriptors.
    requests,    ///< In hand, not answered.
    memory,      ///< Of the requests in hand.
    link,        ///< Bodies that are on their way.
};

template <>
struct name_table<intake_bound>
{
    static constexpr std::array<std::string_view, 4> names{
        "connections", "requests", "memory", "link"};
};

/// What a machine gives its process; 0: not said.
struct intake_resources
{
    std::size_t memory_mb = 0;   ///< Past it, the process is killed.
    std::size_t descriptors = 0; ///< Past it, none can be opened.
    double link_mbps = 0;        ///< Of the machine, each way.
};

/// Bounds of what a server takes in.
struct intake_settings
{
    std::size_t max_connections = 4096;  ///< More are closed at once.
    std::size_t max_requests = 20'000;   ///< In hand.
    std::size_t max_bytes = 512UL << 20; ///< For requests in hand.
    /// Of bodies that are on their way at once.
    std::size_t max_reading = std::numeric_limits<std::size_t>::max();
    std::size_t max_body_bytes = 8UL << 20; ///< Larger bodies get 413.
    std::size_t max_open_tasks = 50'000; ///< Of all jobs that have not ended.
    /// Longest wait for a place on the link, then the request is refused.
    duration link_patience = milliseconds{500};
    /// A body that takes longer is held up by its sender, not by the link.
    duration link_hold = seconds{1};

    /// @param given By the machine.
    /// @return Bounds that keep the process within it; where nothing is said,
    /// those above.
    static intake_settings within(const intake_resources& given);
};

/// Numbers of intake.
struct intake_stats
{
    std::uint64_t admitted = 0; ///< Requests taken in.
    std::uint64_t waited = 0;   ///< Of these, for a place on the link.
    std::array<std::uint64_t, name_table<intake_bound>::names.size()>
        refused{};                 ///< By bound.
    std::size_t most_requests = 0; ///< In hand at once.
    std::size_t most_bytes = 0;    ///< For these.
};

/// Why a request is not taken in.
struct intake_refusal
{
    intake_bound bound;   ///< What stands against it.
    duration retry_after; ///< When there may be room.
};

class intake_limits;

/// The place of a request in hand; gives it back when it ends.
class intake_place final
{
public:
    intake_place() = default;
    intake_place(std::shared_ptr<intake_limits> limits, std::size_t bytes);
    intake_place(intake_place&&) noexcept = default;
    intake_place& operator=(intake_place&&) noexcept;
    ~intake_place();

private:
    std::shared_ptr<intake_limits> limits_; ///< Null: holds nothing.
    std::size_t bytes_ = 0;                 ///< Taken.
};

/// A body's place on the link; gives it back when it ends.
class link_place final
{
public:
    link_place(std::shared_ptr<intake_limits> limits, std::size_t bytes);
    ~link_place();
    link_place(const link_place&) = delete;
    link_place& operator=(const link_place&) = delete;

    /// @return Whether the body may be read.
    bool granted() const { return granted_; }

    /// @param told Called once when it may be.
    void on_granted(std::function<void()> told) { told_ = std::move(told); }

private:
    friend class intake_limits;
    std::shared_ptr<intake_limits> limits_; ///< Whose place it is.
    std::size_t bytes_;                     ///< Of the body.
    bool granted_ = false;                  ///< It may be read.
    instant granted_at_{};                  ///< Since when.
    std::function<void()> told_;            ///< May be empty.
};

/// Decides, before a request's body is read, whether it is taken in. Only
/// those that bring work are asked about; answers, questions and cancellings
/// always pass. A connection holds one request at a time and a body at most an
/// eighth of the memory, so that none fills a bound alone; bodies that wait for
/// the link go in turn. Used on one thread.
class intake_limits final : public std::enable_shared_from_this<intake_limits>
{
public:
    /// @param clock Outlives it.
    /// @param settings Bounds.
    intake_limits(const clock_source& clock, const intake_settings& settings);

    /// @return The bounds.
    const intake_settings& settings() const { return settings_; }

    /// @param body_bytes As its header says.
    /// @return Its place, or why there is none.
    std::variant<intake_place, intake_refusal> admit(std::size_t body_bytes);

    /// @param body_bytes As its header says.
    /// @return Why it would not be taken in now, if so.
    std::optional<intake_refusal> stands_against(std::size_t body_bytes);

    /// Takes back the places of bodies that are held up by their senders.
    void review_link();

    /// @param body_bytes That are to be read.
    /// @return Their place, granted or in turn.
    std::unique_ptr<link_place> want_link(std::size_t body_bytes);

    /// @param bound What stood against a request that was turned away.
    /// @return What its caller is told.
    intake_refusal refuse(intake_bound bound);

    /// @return Numbers.
    const intake_stats& stats() const { return stats_; }

    /// @return Requests in hand.
    std::size_t requests() const { return requests_; }

    /// @return Bytes that stand for these.
    std::size_t bytes() const { return bytes_; }

    /// @param page Gets the metrics.
    void collect(metric_page& page);

    /// @param body_bytes Of a request.
    /// @return What it takes of the memory until it is answered.
    static std::size_t cost_of(std::size_t body_bytes);

private:
    friend class intake_place;
    friend class link_place;

    void release(std::size_t bytes);
    void leave_link(link_place& place);
    void grant_in_turn();
    std::optional<intake_bound> bound_reached(std::size_t cost) const;
    void note_end();
    void note_calm();
    double ends_per_s() const;

    const clock_source& clock_;        ///< Of the process.
    intake_settings settings_;         ///< Bounds.
    std::size_t requests_ = 0;         ///< In hand.
    std::size_t bytes_ = 0;            ///< For these.
    std::size_t reading_ = 0;          ///< Of bodies on their way.
    std::list<link_place*> granted_;   ///< Those that count, oldest first.
    std::list<link_place*> waiting_;   ///< In turn.
    std::uint64_t ends_ = 0;           ///< In this window.
    instant window_{};                 ///< When it began.
    double rate_ = 0;                  ///< Ends a second, before it.
    bool refusing_ = false;            ///< For the log.
    std::uint64_t refused_in_row_ = 0; ///< Since refusing began.
    instant refusing_since_{};         ///< When it began.
    instant last_refusal_{};           ///< For its end.
    intake_stats stats_;               ///< Numbers.
};

} // namespace glenhollow

#endif
