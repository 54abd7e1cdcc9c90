#ifndef GLENHOLLOW_TESTS_UNIT_AGENT_FAKE_RUNNER_HPP
#define GLENHOLLOW_TESTS_UNIT_AGENT_FAKE_RUNNER_HPP

#include "glenhollow/agent/runner_caller.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace glenhollow
{

/// A runner whose tasks end when the test says so.
class fake_runner final : public runner_caller
{
public:
    void call(runner_call call, handler done) override
    {
        ++starts[call.task];
        order.push_back(call.task);
        running.emplace(call.task, std::move(done));
    }

    void probe(std::function<void(bool)> done) override
    {
        ++probes;
        done(reachable);
    }

    /// Ends a task.
    void end(const std::string& task, verdict what, reason why = reason::none,
             const std::string& body = "0")
    {
        auto done = std::move(running.at(task));
        running.erase(task);
        done({{what, why}, body});
    }

    std::map<std::string, int> starts;      ///< By task.
    std::map<std::string, handler> running; ///< Without an end.
    std::deque<std::string> order;          ///< Of the starts.
    int probes = 0;                         ///< Asked for.
    bool reachable = true;                  ///< What probes are told.
};

} // namespace glenhollow

#endif
