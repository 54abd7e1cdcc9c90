#ifndef GLENHOLLOW_TESTS_UNIT_AGENT_FAKE_RUNNER_HPP
#define GLENHOLLOW_TESTS_UNIT_AGENT_FAKE_RUNNER_HPP

#include "glenhollow/agent/runner_client.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace glenhollow
{

/// A runner whose tasks end when the test says so.
class fake_runner final : public runner_client
{
public:
    void call(runner_request call, handler done) override
    {
        ++call_counts[call.task];
        call_order.push_back(call.task);
        running.emplace(call.task, std::move(done));
    }

    void probe(std::function<void(bool)> done) override
    {
        ++probes;
        done(reachable);
    }

    /// Ends a task.
    void finish_call(const std::string& task, verdict what,
                     reason why = reason::none, const std::string& body = "0")
    {
        auto done = std::move(running.at(task));
        running.erase(task);
        done({{what, why}, body});
    }

    std::map<std::string, int> call_counts; ///< By task.
    std::map<std::string, handler> running; ///< Without an end.
    std::deque<std::string> call_order;     ///< Of the starts.
    int probes = 0;                         ///< Asked for.
    bool reachable = true;                  ///< What probes are told.
};

} // namespace glenhollow

#endif
