#ifndef GLENHOLLOW_TESTS_UNIT_CONFIGURATION_FAKE_TABLE_HPP
#define GLENHOLLOW_TESTS_UNIT_CONFIGURATION_FAKE_TABLE_HPP

#include "glenhollow/platform/table_service.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace glenhollow
{

/// A table whose calls are queued until the test executes them.
class fake_table final : public table_service
{
public:
    /// Behaviour of the calls that are executed.
    enum class mode : std::uint8_t
    {
        up,          ///< Calls succeed.
        lose_answer, ///< Writes are applied, but responses are lost.
        drop,        ///< Writes are not applied and have no response.
        away         ///< Calls are not sent.
    };

    void read_row(const std::string& key, reader<table_row> done) override
    {
        calls.push_back(
            [this, key, done]
            {
                ++reads;
                if (now == mode::away)
                    return done(platform_outcome::not_sent, {});
                if (now != mode::up)
                    return done(platform_outcome::unknown, {});
                const auto row = rows.find(key);
                if (row == rows.end())
                    return done(platform_outcome::missing, {});
                done(platform_outcome::done, row->second);
            });
    }

    void transact(const table_transaction& change, writer done) override
    {
        calls.push_back(
            [this, change, done]
            {
                ++writes;
                if (now == mode::away)
                    return done(platform_outcome::not_sent);
                if (now == mode::drop)
                    return done(platform_outcome::unknown);
                const auto outcome = commit(change);
                done(now == mode::lose_answer ? platform_outcome::unknown
                                              : outcome);
            });
    }

    /// Executes the next queued call.
    /// @return Whether there was one.
    bool step()
    {
        if (calls.empty())
            return false;
        const auto call = calls.front();
        calls.pop_front();
        call();
        return true;
    }

    /// Executes calls until the queue is empty.
    void settle()
    {
        while (step())
        {
        }
    }

    platform_outcome commit(const table_transaction& change)
    {
        for (const auto& condition : change.conditions)
        {
            if (rows[condition.key].version != condition.version)
                return platform_outcome::conflict;
        }
        for (const auto& write : change.writes)
        {
            auto& row = rows[write.key];
            row = {write.key, write.value, row.version + 1};
        }
        ++commits;
        return platform_outcome::done;
    }

    mode now = mode::up;                     ///< Current behaviour.
    std::map<std::string, table_row> rows;   ///< Table content by key.
    std::deque<std::function<void()>> calls; ///< Queued calls.
    int reads = 0;                           ///< Executed reads.
    int writes = 0;                          ///< Executed writes.
    int commits = 0;                         ///< Committed transactions.
};

} // namespace glenhollow

#endif
