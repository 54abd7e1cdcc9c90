#include "glenhollow/durable/placement_client.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <utility>

namespace glenhollow
{

/// Receives the grants of the placer.
class placement_client::grant_server final
    : public wire::PlacementGrants::Server
{
public:
    grant_server(placement_client& client, std::uint64_t number)
        : client_(client), alive_(client.alive_), session_number_(number)
    {
    }

    kj::Promise<void> grant(GrantContext context) override
    {
        if (!*alive_)
            return kj::READY_NOW;
        std::vector<task_grant> grants;
        for (auto one : context.getParams().getGrants())
            grants.push_back(from_wire(one));
        client_.granted(session_number_, grants);
        return kj::READY_NOW;
    }

private:
    placement_client& client_;     ///< Valid while `alive_` is true.
    std::shared_ptr<bool> alive_;  ///< Whether the client still exists.
    std::uint64_t session_number_; ///< Number of the session.
};

placement_client::placement_client(const clock_source& clock,
                                   entry_peers& peers, dispatcher& queue,
                                   std::function<void()> on_change,
                                   placer_number number,
                                   const placement_client_settings& settings)
    : clock_(clock), peers_(peers), queue_(queue),
      on_change_(std::move(on_change)), settings_(settings),
      placer_number_(number)
{
}

placement_client::~placement_client() noexcept
{
    *alive_ = false;
}

void placement_client::follow(const std::string& placer)
{
    if (placer != placer_)
    {
        if (session_)
            leave_placer("another_placer");
        opening_ = false;
        ++session_number_;
        placer_ = placer;
        retry_at_ = avoids(placer) ? failed_until_ : instant{};
    }
    if (opening_ && clock_.now() - opening_since_ > settings_.retry)
        opening_ = false; // The link broke, or there was no answer.
    if (!placer_.empty() && !session_ && !opening_ && clock_.now() >= retry_at_)
        open_session();
}

void placement_client::open_session()
{
    const auto number = ++session_number_;
    opening_ = peers_.open_placement(
        placer_, settings_.entry, settings_.incarnation,
        kj::heap<grant_server>(*this, number),
        [this, alive = alive_, number](std::uint64_t incarnation,
                                       wire::PlacementSession::Client orders)
        {
            if (*alive)
                opened(number, incarnation, kj::mv(orders));
        });
    opening_since_ = clock_.now();
}

void placement_client::opened(std::uint64_t number, std::uint64_t incarnation,
                              wire::PlacementSession::Client orders)
{
    if (number != session_number_)
        return; // The attempt was given up.
    opening_ = false;
    session_.reset(new session{kj::mv(orders), incarnation, {}, {}, {}});
    declined_.clear();
    log_change(log_level::info, "placer_followed", {{"entry", placer_}});
    queue_.redistribute();
    placement_update first;
    first.restart = true;
    first.changes = queue_.take_changes(placer_number_);
    send(std::move(first));
}

bool placement_client::avoids(const std::string& placer) const
{
    return placer == failed_ && clock_.now() < failed_until_;
}

const placement_load* placement_client::load(const std::string& service) const
{
    if (!session_)
        return nullptr;
    const auto known = session_->loads.find(service);
    return known == session_->loads.end() ? nullptr : &known->second;
}

/// Adapts the timeout to the recent answer times, so that a slow placer is not
/// taken for a dead one.
duration placement_client::answer_timeout() const
{
    constexpr int deviations = 4; // The same factor as in TCP's retransmission
                                  // timer.
    return std::clamp(answer_time_ + deviations * answer_deviation_,
                      settings_.min_answer_timeout,
                      settings_.max_answer_timeout);
}

void placement_client::send(placement_update message)
{
    auto request = session_->orders.wantRequest();
    fill(request, message, clock_.now());
    session_->unanswered.push_back(clock_.now());
    ++stats_.messages;
    session_->calls.add(request.send().then(
        [this, number = session_number_](auto&& answer)
        { answered(number, from_wire(answer)); },
        [this, alive = alive_, number = session_number_](kj::Exception&&)
        {
            if (*alive && number == session_number_)
                on_change_(); // flush() ends the session, which must not happen
                              // inside its own call.
        }));
}

void placement_client::answered(std::uint64_t number,
                                std::map<std::string, placement_load> loads)
{
    constexpr int weight = 8; // The newest answer counts one eighth.
    if (number != session_number_ || !session_ || session_->unanswered.empty())
        return;
    const duration took = clock_.now() - session_->unanswered.front();
    session_->unanswered.pop_front();
    session_->loads = std::move(loads);
    const auto deviation =
        took > answer_time_ ? took - answer_time_ : answer_time_ - took;
    answer_deviation_ += (deviation - answer_deviation_) / weight;
    answer_time_ += (took - answer_time_) / weight;
}

void placement_client::flush()
{
    if (!session_)
        return;
    const bool silent =
        !session_->unanswered.empty() &&
        clock_.now() - session_->unanswered.front() > answer_timeout();
    if (silent || !peers_.connected(placer_))
    {
        ++stats_.failures;
        failed_ = placer_;
        failed_until_ = clock_.now() + settings_.failure_backoff;
        return leave_placer(silent ? "silent" : "link_down");
    }
    placement_update message;
    message.changes = queue_.take_changes(placer_number_);
    message.declined = std::exchange(declined_, {});
    if (!message.empty())
        send(std::move(message));
}

void placement_client::granted(std::uint64_t number,
                               const std::vector<task_grant>& grants)
{
    if (number != session_number_ || !session_)
        return;
    stats_.grants += grants.size();
    for (const auto& grant : grants)
    {
        const auto verdict =
            queue_.apply_grant(grant, {placer_number_, session_->incarnation});
        if (verdict == grant_verdict::used)
            continue;
        ++stats_.unused;
        declined_.push_back(
            {grant.agent, grant.number, verdict == grant_verdict::unreachable});
    }
    on_change_();
}

void placement_client::leave_placer(std::string_view cause)
{
    log_change(log_level::warning, "placer_left",
               {{"entry", placer_}, {"cause", cause}});
    retry_at_ = clock_.now() + settings_.retry;
    ++session_number_;
    end_session();
    on_change_();
}

/// Ends the session in the next turn of the event loop, since the caller may
/// run inside it.
void placement_client::end_session()
{
    peers_.later([old = std::shared_ptr<session>(std::move(session_))]() mutable
                 { old.reset(); });
    answer_time_ = answer_deviation_ = {};
    queue_.recall(placer_number_);
}

void placement_client::close()
{
    ++session_number_;
    session_.reset();
}

} // namespace glenhollow
