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

/// What one agent said to a fence.
struct fence_reply
{
    bool answered = false;        ///< It answered.
    bool declined = false;        ///< It heard from that incarnation lately.
    std::uint32_t unfinished = 0; ///< Tasks that still run there.
    std::vector<fenced_record> records; ///< What it remembers.
};

/// Settings of control calls to agents.
struct agent_control_settings
{
    duration call_timeout = seconds{2}; ///< Of one call, connecting included.
    duration liveness_window = seconds{12}; ///< Above the links' heartbeat.
    std::size_t max_concurrent_calls = 64;  ///< Calls at once.
};

/// Calls to agents that are too rare for a link: fences, drains and reads of
/// the configuration. Each opens a connection of its own. On the control
/// thread, inside an rpc_loop.
class agent_control final
{
public:
    /// @param io The loop's context.
    /// @param settings Limits.
    agent_control(boost::asio::io_context& io,
                  const agent_control_settings& settings);
    ~agent_control();

    /// @param agent Whom to ask.
    /// @param incarnation Whose starts it is to refuse.
    /// @param done Told its answer.
    void fence(const member& agent, std::uint64_t incarnation,
               std::function<void(fence_reply)> done);

    /// @param agent Whom to tell.
    /// @param on Whether it is to refuse new starts.
    /// @param by Which operator or list wants it.
    /// @param done Told whether it answered.
    void drain(const member& agent, bool on, const std::string& by,
               std::function<void(bool)> done);

    /// @param agent Whom to ask.
    /// @param known Our configuration.
    /// @param done Told the newer one; not called without it.
    void fetch_configuration(const member& agent, const configuration& known,
                             std::function<void(const configuration&)> done);

    /// Drops all calls; called inside the rpc_loop, before its end.
    void close();

    /// @return Calls made so far.
    std::uint64_t calls() const { return call_count_; }

private:
    struct call;

    /// Starts a call, or lets it wait for one of those under way.
    void start_or_queue(const std::shared_ptr<call>& new_call);
    void connect(const std::shared_ptr<call>& new_call);
    void end(const std::shared_ptr<call>& done);

    boost::asio::io_context& io_;               ///< The loop's context.
    agent_control_settings settings_;           ///< Limits.
    std::vector<std::shared_ptr<call>> active_; ///< Under way.
    std::deque<std::shared_ptr<call>> waiting_; ///< Until one has ended.
    stream_stats bytes_;                        ///< Over all calls.
    std::uint64_t call_count_ = 0;              ///< So far.
};

} // namespace glenhollow

#endif
