#ifndef GLENHOLLOW_TESTS_UNIT_SUPPORT_FAKE_ROW_STORE_HPP
#define GLENHOLLOW_TESTS_UNIT_SUPPORT_FAKE_ROW_STORE_HPP

#include "glenhollow/journal/row_store.hpp"
#include "unit/support/manual_loop.hpp"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace glenhollow
{

/// In-memory row store with fault injection.
class fake_row_store final : public row_store
{
public:
    explicit fake_row_store(manual_loop& loop) : loop_(loop) {}

    void commit(const row_transaction& change, commit_handler done) override
    {
        transactions.push_back(change);
        commit_result end;
        if (down)
            end.outcome = store_outcome::refused;
        else if (hold_commits)
            held_commits.push_back(change),
                end.outcome = store_outcome::unknown;
        else
            end = apply(change);
        if (lose_answers > 0 && end.outcome == store_outcome::done)
        {
            --lose_answers;
            end = {};
        }
        loop_.delay()(answer_time,
                      [end, done = std::move(done)] { done(end); });
    }

    void read(const row_range& range, read_handler done) override
    {
        read_result end;
        end.answered = !down;
        end.version = version_;
        for (const auto& [name, row] : rows_)
        {
            const auto& key = row.key;
            if (key.table != range.table || key.part != range.part ||
                key.key < range.from ||
                (!range.until.empty() && key.key >= range.until))
                continue;
            if (end.rows.size() == page)
            {
                end.more = true;
                break;
            }
            end.rows.push_back(row);
        }
        if (down)
            end.rows.clear();
        loop_.delay()(answer_time,
                      [end, done = std::move(done)] { done(end); });
    }

    void follow(const std::string& table, std::uint64_t after, duration wait,
                feed_handler done) override
    {
        feed_result end;
        end.outcome = down                     ? feed_outcome::failed
                      : after < oldest_version ? feed_outcome::history_expired
                                               : feed_outcome::answered;
        end.version = version_;
        for (const auto& [name, row] : rows_)
        {
            if (row.key.table == table && row.version > after)
                end.rows.push_back(row);
        }
        loop_.delay()(end.rows.empty() && !down ? wait : answer_time,
                      [end, done = std::move(done)] { done(end); });
    }

    /// Applies the commits that were held back.
    std::vector<commit_result> release_held()
    {
        std::vector<commit_result> ends;
        for (const auto& change : held_commits)
            ends.push_back(apply(change));
        held_commits.clear();
        return ends;
    }

    /// @return The row, or nothing.
    std::optional<stored_row> find(const row_key& key) const
    {
        const auto known = rows_.find(name(key));
        if (known == rows_.end())
            return std::nullopt;
        return known->second;
    }

    /// Writes a row as another process would.
    /// @return The new version.
    std::uint64_t put(const row_key& key, const std::string& value)
    {
        ++version_;
        rows_[name(key)] = {key, value, version_, false};
        return version_;
    }

    bool down = false;         ///< Whether calls fail.
    bool hold_commits = false; ///< Holds commits back, unanswered.
    int lose_answers = 0;      ///< Successful commits to leave unanswered.
    std::uint64_t oldest_version = 0;          ///< Start of the history.
    std::size_t page = 500;                    ///< Maximum rows per read.
    duration answer_time = milliseconds{5};    ///< Latency of each call.
    std::vector<row_transaction> transactions; ///< All commits received.
    std::vector<row_transaction> held_commits; ///< Commits held back.

private:
    using row_name = std::tuple<std::string, std::string, std::string>;

    static row_name name(const row_key& key)
    {
        return {key.table, key.part, key.key};
    }

    commit_result apply(const row_transaction& change)
    {
        commit_result end;
        for (const auto& condition : change.expected)
        {
            const auto known = rows_.find(name(condition.key));
            const auto version =
                known == rows_.end() ? 0 : known->second.version;
            if (version == condition.version)
                continue;
            end.outcome = store_outcome::conflict;
            end.current.push_back(known == rows_.end()
                                      ? stored_row{condition.key, {}, 0, false}
                                      : known->second);
        }
        if (end.outcome == store_outcome::conflict)
            return end;
        ++version_;
        for (const auto& put : change.puts)
            rows_[name(put.key)] = {put.key, put.value, version_, false};
        for (const auto& key : change.removes)
            rows_.erase(name(key));
        end.outcome = store_outcome::done;
        end.version = version_;
        return end;
    }

    manual_loop& loop_;
    std::map<row_name, stored_row> rows_;
    std::uint64_t version_ = 0; ///< Number of transactions.
};

} // namespace glenhollow

#endif
