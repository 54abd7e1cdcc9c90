#include "glenhollow/entry/peer_service.hpp"

#include "glenhollow/configuration/configuration_wire.hpp"
#include "glenhollow/entry/peer_wire.hpp"

#include <boost/asio/post.hpp>

#include <memory>
#include <utility>

namespace glenhollow
{

namespace
{

/// A promise on this thread that an answer from any thread fulfils.
class answer_promise
{
public:
    explicit answer_promise(boost::asio::io_context& io) : io_(io)
    {
        auto paf = kj::newPromiseAndFulfiller<job_answer>();
        promise_ = kj::mv(paf.promise);
        fulfiller_ =
            std::make_shared<kj::Own<kj::PromiseFulfiller<job_answer>>>(
                kj::mv(paf.fulfiller));
    }

    /// @return A callback that fulfils the promise; any thread may call it.
    answer_callback callback()
    {
        return [&io = io_, fulfiller = fulfiller_](job_answer answer)
        {
            boost::asio::post(io,
                              [fulfiller, answer = std::move(answer)]() mutable
                              { (*fulfiller)->fulfill(std::move(answer)); });
        };
    }

    /// @return The promise; may be called once.
    kj::Promise<job_answer> take() { return kj::mv(promise_); }

private:
    boost::asio::io_context& io_;               ///< Context of this thread.
    kj::Promise<job_answer> promise_ = nullptr; ///< Promise of the answer.
    std::shared_ptr<kj::Own<kj::PromiseFulfiller<job_answer>>>
        fulfiller_; ///< Shared with the callback.
};

} // namespace

kj::Promise<void> peer_service::exchange(ExchangeContext context)
{
    const auto params = context.getParams();
    const std::string entry = params.getEntry().cStr();
    const peer_report report{params.getIncarnation(), params.getConfigVersion(),
                             to_demand(params.getDemand()),
                             params.getStopping(), params.getHeir().cStr()};
    plane_.handle_peer_report(entry, report);
    const auto& own_report = plane_.peers().own_report();
    auto results = context.getResults();
    results.setIncarnation(plane_.incarnation());
    results.setConfigVersion(plane_.store().current().version());
    results.setStopping(own_report.stopping);
    results.setHeir(own_report.holder);
    fill(results.initDemand(static_cast<unsigned>(own_report.demand.size())),
         own_report.demand);
    return kj::READY_NOW;
}

kj::Promise<void> peer_service::submit(SubmitContext context)
{
    const auto params = context.getParams();
    answer_promise answer(plane_.io());
    const auto id = submission_id::parse(params.getId().cStr());
    std::string body = to_string(params.getBody());
    auto request = parse_job(body, backend_.limits());
    auto write_answer = [context](const job_answer& result) mutable
    { fill(context.getResults().initAnswer(), result); };
    if (!id)
    {
        write_answer(api_problem{400, reason::malformed,
                                 "the id is not a valid submission id"}
                         .to_answer());
        return kj::READY_NOW;
    }
    if (!request)
    {
        write_answer(request.error().to_answer());
        return kj::READY_NOW;
    }
    const std::string traceparent = params.getTraceparent().cStr();
    if (id->incarnation == plane_.incarnation())
    {
        routed_job job;
        job.id = *id;
        job.request = std::move(request.value());
        job.trace = trace_context::parse(traceparent);
        job.body = std::move(body);
        backend_.submit(std::move(job), answer.callback());
    }
    else
    {
        plane_.foreign().resolve(
            {*id, std::move(body), traceparent, params.getAdopt()},
            answer.callback());
    }
    context.releaseParams();
    return answer.take().then(kj::mv(write_answer));
}

kj::Promise<void> peer_service::lookup(LookupContext context)
{
    const auto params = context.getParams();
    answer_promise answer(plane_.io());
    const auto id = submission_id::parse(params.getId().cStr());
    auto write_answer = [context](const job_answer& result) mutable
    { fill(context.getResults().initAnswer(), result); };
    if (!id)
    {
        write_answer(api_problem{400, reason::malformed,
                                 "the id is not a valid submission id"}
                         .to_answer());
        return kj::READY_NOW;
    }
    if (id->incarnation == plane_.incarnation())
        backend_.lookup(*id, answer.callback());
    else
        plane_.foreign().resolve({*id, std::nullopt, "", params.getAdopt()},
                                 answer.callback());
    return answer.take().then(kj::mv(write_answer));
}

kj::Promise<void> peer_service::configuration(ConfigurationContext context)
{
    fill(context.getResults().initConfiguration(), plane_.store().current(),
         context.getParams().getSince());
    return kj::READY_NOW;
}

kj::Promise<void> peer_service::operate(OperateContext context)
{
    const auto params = context.getParams();
    answer_promise answer(plane_.io());
    operators_.run(params.getStatement().cStr(), params.getBy().cStr(),
                   statement_scope::this_entry, answer.callback());
    return answer.take().then(
        [context](const job_answer& result) mutable
        { fill(context.getResults().initAnswer(), result); });
}

kj::Promise<void> peer_service::keep(KeepContext context)
{
    const auto params = context.getParams();
    std::vector<coordinator::kept_answer> answers;
    for (const auto one : params.getAnswers())
        answers.push_back(
            {one.getSequence(), one.getBodyHash(), to_answer(one.getAnswer())});
    const std::string entry = params.getEntry().cStr();
    const auto* member = plane_.members().find(entry);
    plane_.foreign().keep(entry, member ? member->hall : plane_.hall(),
                          params.getIncarnation(), answers);
    return kj::READY_NOW;
}

kj::Promise<void> peer_service::holds(HoldsContext context)
{
    context.getResults().setHeld(
        plane_.foreign().holds(context.getParams().getIncarnation()));
    return kj::READY_NOW;
}

kj::Promise<void> peer_service::members(MembersContext context)
{
    const auto& known = plane_.members().members();
    fill(context.getResults().initMembers(static_cast<unsigned>(known.size())),
         known);
    return kj::READY_NOW;
}

} // namespace glenhollow
