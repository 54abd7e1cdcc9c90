#ifndef GLENHOLLOW_TESTS_UNIT_CONFIGURATION_FAKE_TABLE_HPP
#define GLENHOLLOW_TESTS_UNIT_CONFIGURATION_FAKE_TABLE_HPP

#include "glenhollow/platform/table_service.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace glenhollow
{

/// A table whose calls wait until the test lets them through.
class fake_table final : public table_service
{
public:
    /// What happens to the next calls.
    enum class mode : std::uint8_t
    {
        up,          ///< They work.
        lose_answer, ///< They take effect and their answer is lost.
        drop,        ///< They do not take effect and nobody answers.
        away         ///< Nothing is sent.
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

    /// Lets one waiting call through.
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

    /// Lets calls through until none waits.
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

    mode now = mode::up;                     ///< What happens.
    std::map<std::string, table_row> rows;   ///< The table.
    std::deque<std::function<void()>> calls; ///< Waiting.
    int reads = 0;                           ///< Let through.
    int writes = 0;                          ///< Let through.
    int commits = 0;                         ///< Took effect.
};

} // namespace glenhollow

#endif
