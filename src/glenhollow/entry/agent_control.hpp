#ifndef GLENHOLLOW_ENTRY_AGENT_CONTROL_HPP
#define GLENHOLLOW_ENTRY_AGENT_CONTROL_HPP

#include "glenhollow/configuration/configuration.hpp"
#include "glenhollow/core/clock.hpp"
#include "glenhollow/entry/adopted_answers.hpp"
#include "glenhollow/membership/member.hpp"
#include "glenhollow/rpc/asio_stream.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace glenhollow
{

/// Reply of one agent to a fence request.
struct fence_reply
{
    bool answered = false; ///< Whether the agent answered the call.
    bool declined = false; ///< The agent heard from that incarnation recently.
    std::uint32_t unfinished = 0; ///< Tasks that still run at the agent.
    /// The tasks that the agent keeps records of.
    std::vector<fenced_record> records;
};

/// Settings of control calls to agents.
struct agent_control_settings
{
    /// Limit of one call, connecting included.
    duration call_timeout = seconds{2};
    /// An agent that heard from the incarnation within this time declines the
    /// fence. Must exceed the heartbeat interval of links.
    duration liveness_window = seconds{12};
    std::size_t max_concurrent_calls = 64;
};

/// Infrequent calls to agents: fences, drains and reads of the configuration.
/// Each call opens a connection of its own. Runs on the control thread, inside
/// an rpc_loop.
class agent_control final
{
public:
    /// @param io The context of the event loop.
    /// @param settings Timeouts and limits.
    agent_control(boost::asio::io_context& io,
                  const agent_control_settings& settings);
    ~agent_control();

    /// Asks an agent to refuse further starts of an entry incarnation and to
    /// return its records of that incarnation.
    /// @param agent The agent to call.
    /// @param incarnation The incarnation to fence.
    /// @param done Called once with the reply.
    void fence(const member& agent, std::uint64_t incarnation,
               std::function<void(fence_reply)> done);

    /// Turns the draining state of an agent on or off.
    /// @param agent The agent to call.
    /// @param on Whether the agent refuses new starts.
    /// @param by The operator or list that requested the drain.
    /// @param done Called once with whether the agent answered.
    void drain(const member& agent, bool on, const std::string& by,
               std::function<void(bool)> done);

    /// Reads the configuration that an agent has.
    /// @param agent The agent to call.
    /// @param known The configuration in force at this entry.
    /// @param done Called only if the agent has a newer configuration.
    void fetch_configuration(const member& agent, const configuration& known,
                             std::function<void(const configuration&)> done);

    /// Drops all calls. Must be called inside the rpc_loop, before it ends.
    void close();

    /// @return Number of calls started so far.
    std::uint64_t calls() const { return call_count_; }

private:
    struct call;

    /// Starts a call, or queues it while the concurrency limit is reached.
    void start_or_queue(const std::shared_ptr<call>& new_call);
    void connect(const std::shared_ptr<call>& new_call);
    void finish(const std::shared_ptr<call>& done);

    boost::asio::io_context& io_; ///< The event loop.
    agent_control_settings settings_;
    std::vector<std::shared_ptr<call>> active_; ///< Calls in progress.
    /// Calls beyond the concurrency limit.
    std::deque<std::shared_ptr<call>> waiting_;
    stream_stats bytes_;           ///< Traffic of all calls.
    std::uint64_t call_count_ = 0; ///< Calls started so far.
};

} // namespace glenhollow

#endif
