#ifndef GLENHOLLOW_TESTS_UNIT_ENTRY_FAKE_SENDER_HPP
#define GLENHOLLOW_TESTS_UNIT_ENTRY_FAKE_SENDER_HPP

#include "glenhollow/entry/coordinator.hpp"

#include <map>
#include <utility>
#include <vector>

namespace glenhollow
{

/// Records the starts and acknowledgements that a coordinator sends.
class fake_sender final : public start_sender
{
public:
    void send(runner_index runner, std::vector<outgoing_start> starts) override
    {
        for (auto& start : starts)
            sent.emplace_back(runner, std::move(start));
    }

    void acknowledge(runner_index runner,
                     const std::vector<task_key>& keys) override
    {
        auto& known = acknowledged[runner];
        known.insert(known.end(), keys.begin(), keys.end());
    }

    /// Starts in sending order.
    std::vector<std::pair<runner_index, outgoing_start>> sent;
    /// Acknowledged results by runner.
    std::map<runner_index, std::vector<task_key>> acknowledged;
};

} // namespace glenhollow

#endif
