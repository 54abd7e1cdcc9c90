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

/// One call with its connection.
struct agent_control::call
{
    explicit call(boost::asio::io_context& io) : timer(io) {}

    member agent;                               ///< Whom it goes to.
    boost::asio::steady_timer timer;            ///< Its limit.
    bool ended = false;                         ///< It has its answer.
    kj::Maybe<kj::Own<rpc_connection>> rpc;     ///< Once connected.
    kj::Maybe<kj::Own<background_tasks>> tasks; ///< Once connected.

    /// Sends the request over a connection.
    std::function<kj::Promise<void>(wire::Agent::Client)> send;
};

agent_control::agent_control(boost::asio::io_context& io,
                             const agent_control_settings& settings)
    : io_(io), settings_(settings)
{
}

agent_control::~agent_control() = default;

void agent_control::begin(const std::shared_ptr<call>& fresh)
{
    if (open_.size() >= settings_.at_once)
    {
        waiting_.push_back(fresh);
        return;
    }
    connect(fresh);
}

void agent_control::connect(const std::shared_ptr<call>& fresh)
{
    ++calls_made_;
    open_.push_back(fresh);
    fresh->timer.expires_after(settings_.limit);
    fresh->timer.async_wait(
        [this, fresh](boost::system::error_code ec)
        {
            if (!ec)
                end(fresh);
        });
    connect_rpc(io_, fresh->agent.rpc,
                [this, fresh](connect_result got)
                {
                    if (fresh->ended)
                        return;
                    if (!got.socket)
                        return end(fresh);
                    auto rpc = kj::heap<rpc_connection>(std::move(*got.socket),
                                                        bytes_);
                    auto agent = rpc->bootstrap().castAs<wire::Agent>();
                    auto tasks = kj::heap<background_tasks>();
                    tasks->add(fresh->send(kj::mv(agent))
                                   .then([this, fresh] { end(fresh); },
                                         [this, fresh](kj::Exception&&)
                                         { end(fresh); }));
                    fresh->rpc = kj::mv(rpc);
                    fresh->tasks = kj::mv(tasks);
                });
}

void agent_control::end(const std::shared_ptr<call>& done)
{
    if (std::exchange(done->ended, true))
        return;
    done->timer.cancel();
    std::erase(open_, done);
    // The connection goes in the loop's next turn, not inside its own call;
    // with it goes the handler, which then tells its fallback.
    boost::asio::post(io_,
                      [done]
                      {
                          done->tasks = nullptr;
                          done->rpc = nullptr;
                          done->send = nullptr;
                      });
    if (waiting_.empty() || open_.size() >= settings_.at_once)
        return;
    const auto next = waiting_.front();
    waiting_.pop_front();
    connect(next);
}

void agent_control::fence(const member& agent, std::uint64_t incarnation,
                          std::function<void(fence_answer)> handler)
{
    const once_handler<fence_answer> done(std::move(handler), fence_answer{});
    auto fresh = std::make_shared<call>(io_);
    fresh->agent = agent;
    fresh->send = [done, incarnation,
                   within = settings_.heard_within](wire::Agent::Client to)
    {
        auto request = to.fenceRequest();
        request.setIncarnation(incarnation);
        request.setHeardWithinMs(static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(within).count()));
        return request.send().then(
            [done](auto&& reply)
            {
                fence_answer answer;
                answer.reached = true;
                answer.declined = reply.getDeclined();
                answer.unfinished = reply.getUnfinished();
                for (const auto record : reply.getRecords())
                    answer.records.push_back(to_record(record));
                done(std::move(answer));
            });
    };
    begin(fresh);
}

void agent_control::drain(const member& agent, bool on, const std::string& by,
                          std::function<void(bool)> handler)
{
    const once_handler<bool> done(std::move(handler), false);
    auto fresh = std::make_shared<call>(io_);
    fresh->agent = agent;
    fresh->send = [done, on, by](wire::Agent::Client to)
    {
        auto request = to.drainRequest();
        request.setOn(on);
        request.setBy(by);
        return request.send().then([done](auto&&) { done(true); });
    };
    begin(fresh);
}

void agent_control::pull(const member& agent, const configuration& known,
                         std::function<void(const configuration&)> done)
{
    auto fresh = std::make_shared<call>(io_);
    fresh->agent = agent;
    fresh->send = [done = std::move(done), known](wire::Agent::Client to)
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
    begin(fresh);
}

void agent_control::close()
{
    waiting_.clear();
    for (const auto& one : open_)
    {
        one->ended = true;
        one->timer.cancel();
        one->tasks = nullptr;
        one->rpc = nullptr;
        one->send = nullptr;
    }
    open_.clear();
}

} // namespace glenhollow
