#include "glenhollow/entry/agent_control.hpp"

#include "glenhollow/configuration/configuration_wire.hpp"
#include "glenhollow/core/once_handler.hpp"
#include "glenhollow/entry/peer_wire.hpp"
#include "glenhollow/rpc/rpc_connection.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace glenhollow
{

using boost::asio::ip::tcp;

namespace
{

fenced_record to_record(wire::TaskResult::Reader from)
{
    fenced_record record;
    record.key = {from.getKey().getSequence(), from.getKey().getTask()};
    record.end.what = static_cast<verdict>(from.getVerdict());
    record.end.why = from_index<reason>(from.getReason(), reason::internal);
    record.body = to_string(from.getBody());
    record.body_hash = from.getBodyHash();
    record.job_tasks = from.getJobTasks();
    return record;
}

} // namespace

/// One call and its connection.
struct agent_control::call
{
    explicit call(boost::asio::io_context& io) : timer(io) {}

    member agent;                    ///< The agent that is called.
    boost::asio::steady_timer timer; ///< Runs out after the call timeout.
    bool ended = false;              ///< The call was answered or has failed.
    kj::Maybe<kj::Own<rpc_connection>> rpc;     ///< Set once connected.
    kj::Maybe<kj::Own<background_tasks>> tasks; ///< Set once connected.

    /// Sends the request over the connection.
    std::function<kj::Promise<void>(wire::Agent::Client)> send;
};

agent_control::agent_control(boost::asio::io_context& io,
                             const agent_control_settings& settings)
    : io_(io), settings_(settings)
{
}

agent_control::~agent_control() = default;

void agent_control::start_or_queue(const std::shared_ptr<call>& new_call)
{
    if (active_.size() >= settings_.max_concurrent_calls)
    {
        waiting_.push_back(new_call);
        return;
    }
    connect(new_call);
}

void agent_control::connect(const std::shared_ptr<call>& new_call)
{
    ++call_count_;
    active_.push_back(new_call);
    new_call->timer.expires_after(settings_.call_timeout);
    new_call->timer.async_wait(
        [this, new_call](boost::system::error_code ec)
        {
            if (!ec)
                finish(new_call);
        });
    connect_rpc(io_, new_call->agent.rpc,
                [this, new_call](connect_result result)
                {
                    if (new_call->ended)
                        return;
                    if (!result.socket)
                        return finish(new_call);
                    auto rpc = kj::heap<rpc_connection>(
                        std::move(*result.socket), bytes_);
                    auto agent = rpc->bootstrap().castAs<wire::Agent>();
                    auto tasks = kj::heap<background_tasks>();
                    tasks->add(new_call->send(kj::mv(agent))
                                   .then([this, new_call] { finish(new_call); },
                                         [this, new_call](kj::Exception&&)
                                         { finish(new_call); }));
                    new_call->rpc = kj::mv(rpc);
                    new_call->tasks = kj::mv(tasks);
                });
}

void agent_control::finish(const std::shared_ptr<call>& done)
{
    if (std::exchange(done->ended, true))
        return;
    done->timer.cancel();
    std::erase(active_, done);
    // The connection is closed in the next turn of the loop, since this may run
    // inside one of its own calls. Destroying the handler reports its fallback
    // value.
    boost::asio::post(io_,
                      [done]
                      {
                          done->tasks = nullptr;
                          done->rpc = nullptr;
                          done->send = nullptr;
                      });
    if (waiting_.empty() || active_.size() >= settings_.max_concurrent_calls)
        return;
    const auto next = waiting_.front();
    waiting_.pop_front();
    connect(next);
}

void agent_control::fence(const member& agent, std::uint64_t incarnation,
                          std::function<void(fence_reply)> handler)
{
    const once_handler<fence_reply> done(std::move(handler), fence_reply{});
    auto new_call = std::make_shared<call>(io_);
    new_call->agent = agent;
    new_call->send = [done, incarnation, within = settings_.liveness_window](
                         wire::Agent::Client to)
    {
        auto request = to.fenceRequest();
        request.setIncarnation(incarnation);
        request.setHeardWithinMs(static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(within).count()));
        return request.send().then(
            [done](auto&& reply)
            {
                fence_reply answer;
                answer.answered = true;
                answer.declined = reply.getDeclined();
                answer.unfinished = reply.getUnfinished();
                for (const auto record : reply.getRecords())
                    answer.records.push_back(to_record(record));
                done(std::move(answer));
            });
    };
    start_or_queue(new_call);
}

void agent_control::drain(const member& agent, bool on, const std::string& by,
                          std::function<void(bool)> handler)
{
    const once_handler<bool> done(std::move(handler), false);
    auto new_call = std::make_shared<call>(io_);
    new_call->agent = agent;
    new_call->send = [done, on, by](wire::Agent::Client to)
    {
        auto request = to.drainRequest();
        request.setOn(on);
        request.setBy(by);
        return request.send().then([done](auto&&) { done(true); });
    };
    start_or_queue(new_call);
}

void agent_control::fetch_configuration(
    const member& agent, const configuration& known,
    std::function<void(const configuration&)> done)
{
    auto new_call = std::make_shared<call>(io_);
    new_call->agent = agent;
    new_call->send = [done = std::move(done), known](wire::Agent::Client to)
    {
        auto request = to.configurationRequest();
        request.setSince(known.version());
        return request.send().then(
            [newer = configuration(known), done](auto&& reply) mutable
            {
                if (merge(newer, reply.getConfiguration()))
                    done(newer);
            });
    };
    start_or_queue(new_call);
}

void agent_control::close()
{
    waiting_.clear();
    for (const auto& active_call : active_)
    {
        active_call->ended = true;
        active_call->timer.cancel();
        active_call->tasks = nullptr;
        active_call->rpc = nullptr;
        active_call->send = nullptr;
    }
    active_.clear();
}

} // namespace glenhollow
