#ifndef GLENHOLLOW_JOURNAL_JOURNAL_CHAIN_HPP
#define GLENHOLLOW_JOURNAL_JOURNAL_CHAIN_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"
#include "glenhollow/durable/durable_job.hpp"
#include "glenhollow/journal/row_store.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Content of a part's head row, which every transaction of the part updates.
struct chain_head
{
    std::string owner;             ///< Name of the entry that owns the part.
    std::uint64_t incarnation = 0; ///< Incarnation of the owner.
    std::uint32_t epoch = 0; ///< Ownership epoch, from 1; 0 if no row exists.
    std::uint64_t sequence = 0; ///< Number of the owner's transactions.
    std::uint64_t version = 0;  ///< Version of the row; 0 if no row exists.
};

/// Serializes a head row, without its version.
std::string encode_head(const chain_head& head);

/// Parses a head row.
/// @return The head, or a description of the malformed row.
result<chain_head> decode_head(const stored_row& row);

/// @return Name of the part in the store.
std::string part_name(part_number part);

/// @return Key of the part's head row.
row_key head_key(part_number part);

/// Final state of a journal entry.
enum class journal_outcome : std::uint8_t
{
    durable,     ///< The entry is committed to the store.
    not_written, ///< The entry was not and will not be committed.
    unknown      ///< Ownership was lost before the result was known.
};

template <>
struct name_table<journal_outcome>
{
    static constexpr std::array<std::string_view, 3> names{
        "durable", "not_written", "unknown"};
};

/// How soon an entry must be sent to the store.
enum class journal_urgency : std::uint8_t
{
    immediate, ///< Sent as soon as no transaction is in flight.
    batched    ///< May wait `batch_delay` to share a transaction.
};

/// Row changes that are committed atomically, with a completion callback.
struct journal_entry
{
    std::vector<row_write> puts;                          ///< Rows to write.
    std::vector<row_key> removes;                         ///< Rows to remove.
    journal_urgency urgency = journal_urgency::immediate; ///< How soon to send.
    bool droppable = false; ///< Dropped if the store refuses the transaction.
    std::function<void(journal_outcome)> done; ///< Callback; may be empty.
};

/// Delays of a journal chain.
struct journal_chain_settings
{
    duration batch_delay = milliseconds{12};   ///< Wait of `batched` entries.
    duration first_backoff = milliseconds{25}; ///< First retry delay.
    duration longest_backoff = milliseconds{200}; ///< Longest retry delay.
};

/// Counters of a journal chain.
struct journal_chain_stats
{
    std::uint64_t transactions = 0;      ///< Commit attempts.
    std::uint64_t entries = 0;           ///< Entries committed.
    std::uint64_t refused = 0;           ///< Attempts refused by the store.
    std::uint64_t unknown = 0;           ///< Attempts without a response.
    std::uint64_t confirmed_by_head = 0; ///< Found committed on a retry.
};

/// Writes one part's journal as a chain of transactions. Each transaction is
/// conditional on the version of the head row that its predecessor wrote, so a
/// previous owner cannot write after a takeover. At most one transaction is in
/// flight; entries appended meanwhile are batched into the next one. Not
/// thread-safe.
class journal_chain final
{
public:
    /// Runs a function on the event loop after a delay.
    using delay = std::function<void(duration, std::function<void()>)>;

    /// @param store Must outlive all calls of the chain.
    /// @param head The head row that this owner wrote to claim the part.
    /// @param on_lost Called once if another entry has claimed the part.
    journal_chain(row_store& store, delay schedule, part_number part,
                  chain_head head, const journal_chain_settings& settings,
                  std::function<void()> on_lost);
    ~journal_chain();

    /// Queues an entry; once the part is lost, it ends as `not_written`.
    void append(journal_entry entry);

    /// Releases the part. Queued entries end as `not_written`, entries of the
    /// transaction in flight as `unknown`.
    void abandon();

    /// @return Whether no entry is queued or in flight.
    bool idle() const;

    /// @return Whether the store refused or did not answer the last attempt.
    bool is_failing() const;

    /// @return The head row after the last known commit.
    const chain_head& head() const;

    const journal_chain_stats& stats() const;

private:
    struct state;
    std::shared_ptr<state> state_; ///< Shared with calls in flight.
};

} // namespace glenhollow

#endif
