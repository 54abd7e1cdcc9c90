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

/// State of a configuration change.
enum class change_state : std::uint8_t
{
    accepted, ///< The change was committed.
    refused,  ///< The change was not and will not be committed.
    unknown   ///< The result is not known yet; retries continue.
};

template <>
struct name_table<change_state>
{
    static constexpr std::array<std::string_view, 3> names{
        "accepted", "refused", "unknown"};
};

/// Result of a configuration change.
struct change_answer
{
    change_state state = change_state::unknown;
    std::string id;            ///< Unique id of the change.
    std::uint64_t version = 0; ///< Committed version if accepted.
    std::string why;           ///< Reason if refused.

    /// @return A one-line message for the operator.
    std::string text() const;
};

/// Limits of a configuration store.
struct configuration_store_settings
{
    std::string entry = "entry";          ///< Prefix of change ids.
    duration answer_timeout = seconds{4}; ///< Operators get `unknown` then.
    duration first_backoff = milliseconds{100}; ///< First retry delay.
    duration longest_backoff = seconds{5};      ///< Longest retry delay.
    std::size_t most_attempts = 30;             ///< Conflicts before refusal.
    std::size_t max_remembered_answers = 1000;  ///< Size of the answer cache.
};

/// The effective configuration of one entry, changed by compare-and-set in the
/// platform's table. Each change has a unique id: if a response is lost, the
/// same conditional transaction is sent again and the id read back to find out
/// whether it was committed. The version never decreases. Not thread-safe.
class configuration_store final
{
public:
    /// Called with each newer configuration.
    using changed_handler = std::function<void(const configuration&)>;

    /// Called with the result of a change.
    using answer_handler = std::function<void(const change_answer&)>;

    /// @param table Must outlive the store.
    /// @param clock Must outlive the store.
    /// @param seed Seed of change ids and retry jitter.
    configuration_store(table_service& table, const clock_source& clock,
                        const configuration_store_settings& settings,
                        std::uint64_t seed);

    /// Sets the handler that is called with each newer configuration.
    void on_changed(changed_handler handler) { changed_ = std::move(handler); }

    /// @return The effective configuration of this entry.
    const configuration& current() const { return current_; }

    /// Reads the head row and, if its version is newer, the values.
    void poll();

    /// Applies a configuration received from a peer if it is newer.
    /// @return Whether it was newer.
    bool offer(const configuration& offered);

    /// Submits a change of rows.
    /// @param rows New values by key; an empty value removes the row.
    /// @param by Name of the operator.
    /// @param statement Statement of the operator.
    /// @param done Called once, with the final result or with `unknown` after
    /// the answer timeout.
    void change(std::map<std::string, std::string> rows, std::string by,
                std::string statement, answer_handler done);

    /// Looks up the result of a change by its id.
    void ask(const std::string& id, answer_handler done);

    /// Runs due retries and reports changes that reached the answer timeout.
    void tick();

    /// @return Number of changes without a final result.
    std::size_t pending_changes() const { return queue_.size(); }

private:
    /// A change without a final result.
    struct pending_change
    {
        configuration_change change;
        std::optional<std::uint64_t> base_version; ///< Version at submission.
        answer_handler done;                       ///< Null once called.
        instant submitted_at{};                    ///< Time of submission.
        table_transaction sent;                    ///< Last transaction sent.
        std::uint64_t sent_version = 0;            ///< Version that it creates.
        bool in_doubt = false;                     ///< A response was lost.
        std::size_t attempts = 0;                  ///< Number of conflicts.
        duration backoff{}; ///< Delay before the next retry.
        instant retry_at{}; ///< Time of the next retry, or 0.
        bool busy = false;  ///< A call is in flight.
    };

    /// Versions in the head row.
    struct head
    {
        std::uint64_t row_version = 0; ///< Version of the row.
        std::uint64_t version = 0;     ///< Configuration version.
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

    table_service& table_;
    const clock_source& clock_;
    configuration_store_settings settings_;
    random_engine random_; ///< Source of ids and jitter.
    configuration current_;
    changed_handler changed_; ///< May be empty.
    bool polling_ = false;    ///< A poll is in flight.
    std::deque<std::shared_ptr<pending_change>> queue_; ///< One at a time.
    std::map<std::string, change_answer> answers_; ///< Final results by id.
    std::deque<std::string> answer_order_;         ///< Ids, oldest first.
};

} // namespace glenhollow

#endif
