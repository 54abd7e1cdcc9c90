#ifndef GLENHOLLOW_TESTS_UNIT_AGENT_FAKE_RUNNER_HPP
#define GLENHOLLOW_TESTS_UNIT_AGENT_FAKE_RUNNER_HPP

#include "glenhollow/agent/runner_client.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace glenhollow
{

/// A backend server whose tasks end when the test calls finish_call().
class fake_runner final : public runner_client
{
public:
    void call(runner_request request, handler done) override
    {
        ++call_counts[request.task];
        call_order.push_back(request.task);
        running.emplace(request.task, std::move(done));
    }

    void probe(std::function<void(bool)> done) override
    {
        ++probes;
        done(reachable);
    }

    /// Completes the call of a running task.
    void finish_call(const std::string& task, verdict what,
                     reason why = reason::none, const std::string& body = "0")
    {
        auto done = std::move(running.at(task));
        running.erase(task);
        done({{what, why}, body});
    }

    std::map<std::string, int> call_counts; ///< Number of calls by task.
    std::map<std::string, handler> running; ///< Handlers of unfinished calls.
    std::deque<std::string> call_order;     ///< Tasks in call order.
    int probes = 0;                         ///< Number of probes.
    bool reachable = true;                  ///< Result of probes.
};

} // namespace glenhollow

#endif
