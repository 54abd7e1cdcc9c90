#ifndef GLENHOLLOW_CONFIGURATION_CONFIGURATION_STORE_HPP
#define GLENHOLLOW_CONFIGURATION_CONFIGURATION_STORE_HPP

#include "glenhollow/configuration/configuration.hpp"
#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/random.hpp"
#include "glenhollow/platform/table_service.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace glenhollow
{

/// What became of a change.
enum class change_state : std::uint8_t
{
    accepted, ///< It is in force.
    refused,  ///< It never took effect and never will.
    unknown   ///< Nobody can say yet; it is being settled.
};

template <>
struct name_table<change_state>
{
    static constexpr std::array<std::string_view, 3> names{
        "accepted", "refused", "unknown"};
};

/// The answer to a change.
struct change_answer
{
    change_state state = change_state::unknown; ///< What became of it.
    std::string id;                             ///< Names the change.
    std::uint64_t version = 0;                  ///< When accepted.
    std::string why; ///< When refused: by whom, what and when.

    /// @return One line for the operator.
    std::string text() const;
};

/// Limits of the store of the configuration.
struct configuration_store_settings
{
    std::string entry = "entry";                ///< Names changes.
    duration answer_timeout = seconds{4};       ///< The operator waits so long.
    duration first_backoff = milliseconds{100}; ///< Between attempts.
    duration longest_backoff = seconds{5};      ///< The doubling ends here.
    std::size_t most_attempts = 30;             ///< Lost races of one change.
    std::size_t max_remembered_answers = 1000;  ///< Answers remembered.
};

/// The configuration in force at one entry, changed by compare-and-set in the
/// platform's table. Each change carries an id; an answer that was lost is
/// settled by sending the same conditional transaction again and reading the
/// id back, so it is never guessed. A version never goes back. One thread.
class configuration_store final
{
public:
    /// Told of each newer configuration.
    using changed_handler = std::function<void(const configuration&)>;

    /// Told what became of a change.
    using answer_handler = std::function<void(const change_answer&)>;

    /// @param table The platform's table; outlives the store.
    /// @param clock Of this process; outlives the store.
    /// @param settings Limits.
    /// @param seed Of change ids and backoffs.
    configuration_store(table_service& table, const clock_source& clock,
                        const configuration_store_settings& settings,
                        std::uint64_t seed);

    /// @param handler Told of each newer configuration.
    void on_changed(changed_handler handler) { changed_ = std::move(handler); }

    /// @return The configuration in force here.
    const configuration& current() const { return current_; }

    /// Reads the head row and, where it is newer, the values.
    void poll();

    /// Takes a configuration from a peer; an older one is ignored.
    /// @param offered What the peer has.
    /// @return Whether it was newer.
    bool offer(const configuration& offered);

    /// Changes rows.
    /// @param rows New values; empty: the row goes.
    /// @param by Which operator.
    /// @param statement As written.
    /// @param done Told once: accepted, refused, or unknown yet.
    void change(std::map<std::string, std::string> rows, std::string by,
                std::string statement, answer_handler done);

    /// @param id A change.
    /// @param done Told what became of it as far as can be known.
    void ask(const std::string& id, answer_handler done);

    /// Goes on with what waits for its time.
    void tick();

    /// @return Changes not yet settled.
    std::size_t pending_changes() const { return queue_.size(); }

private:
    /// A change on its way.
    struct pending_change
    {
        configuration_change change;               ///< What to change.
        std::optional<std::uint64_t> base_version; ///< Version when it came.
        answer_handler done;                       ///< Null once answered.
        instant submitted_at{};                    ///< When it came.
        table_transaction sent;         ///< The transaction in doubt.
        std::uint64_t sent_version = 0; ///< That it would make.
        bool in_doubt = false;          ///< An answer was lost.
        std::size_t attempts = 0;       ///< Lost races.
        duration backoff{};             ///< Before the next attempt.
        instant retry_at{};             ///< When that is, or 0.
        bool busy = false;              ///< A call is under way.
    };

    /// The head row as read.
    struct head
    {
        std::uint64_t row_version = 0; ///< For the condition.
        std::uint64_t version = 0;     ///< Of the configuration.
    };

    void apply_if_newer(const configuration& newer);
    static head to_head(const table_row& row);
    void read_values(std::function<void(platform_outcome)> done);
    void process_queue();
    void read_head(const std::shared_ptr<pending_change>& open);
    void prepare(const std::shared_ptr<pending_change>& open, const head& at);
    void send(const std::shared_ptr<pending_change>& open);
    void read_back(const std::shared_ptr<pending_change>& open);
    void schedule_retry(const std::shared_ptr<pending_change>& open);
    void answer(const std::shared_ptr<pending_change>& open,
                change_answer answer);
    std::optional<std::string> find_conflict(const pending_change& open) const;

    table_service& table_;                  ///< The platform's.
    const clock_source& clock_;             ///< Of this process.
    configuration_store_settings settings_; ///< Limits.
    random_engine random_;                  ///< Ids and backoffs.
    configuration current_;                 ///< In force here.
    changed_handler changed_;               ///< May be empty.
    bool polling_ = false;                  ///< A read is under way.
    std::deque<std::shared_ptr<pending_change>> queue_; ///< One at a time.
    std::map<std::string, change_answer> answers_;      ///< By id.
    std::deque<std::string> answer_order_;              ///< Oldest first.
};

} // namespace glenhollow

#endif
