#include "glenhollow/durable/placement_server.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <utility>

namespace glenhollow
{

/// Receives the calls of a session's entry; destroyed with its connection.
class placement_server::session_server final
    : public wire::PlacementSession::Server
{
public:
    session_server(placement_server& server, entry_number entry)
        : server_(server), alive_(server.alive_), entry_(entry)
    {
    }

    ~session_server() noexcept
    {
        if (*alive_)
            server_.end(entry_);
    }

    kj::Promise<void> want(WantContext context) override
    {
        if (*alive_)
            server_.apply(entry_,
                          from_wire(context.getParams(), server_.clock_.now()));
        if (*alive_)
            fill(context.getResults(), server_.queue_.loads());
        return kj::READY_NOW;
    }

private:
    placement_server& server_;    ///< Valid while `alive_` is true.
    std::shared_ptr<bool> alive_; ///< Whether the server still exists.
    entry_number entry_;          ///< Number of the session.
};

placement_server::placement_server(const clock_source& clock, dispatcher& queue,
                                   std::function<void()> on_change)
    : clock_(clock), queue_(queue), on_change_(std::move(on_change))
{
    queue_.set_grant_sender(this);
}

placement_server::~placement_server() noexcept
{
    *alive_ = false;
    queue_.set_grant_sender(nullptr);
}

wire::PlacementSession::Client
placement_server::open(const std::string& entry,
                       wire::PlacementGrants::Client grants)
{
    for (auto at = sessions_.begin(); at != sessions_.end();)
    {
        const auto here = at++;
        if (here->second.entry == entry)
            end(here->first);
    }
    const auto number = ++last_number_;
    sessions_.emplace(number, session{entry, kj::mv(grants)});
    log_change(log_level::info, "placement_session_opened", {{"entry", entry}});
    return kj::heap<session_server>(*this, number);
}

void placement_server::apply(entry_number entry,
                             const placement_update& message)
{
    if (!sessions_.contains(entry))
        return; // A later session of the same entry has replaced this one.
    if (message.restart)
        queue_.drop_entry(entry);
    for (const auto& grant : message.declined)
        queue_.declined(entry, grant);
    for (const auto& task : message.changes.withdrawn)
        queue_.withdraw(task, entry);
    for (auto task : message.changes.added)
    {
        task.entry = entry;
        queue_.enqueue(std::move(task));
    }
    on_change_();
}

void placement_server::end(entry_number entry)
{
    const auto known = sessions_.find(entry);
    if (known == sessions_.end())
        return;
    log_change(log_level::info, "placement_session_ended",
               {{"entry", known->second.entry}});
    sessions_.erase(known);
    queue_.drop_entry(entry);
}

void placement_server::grant(entry_number entry, std::vector<task_grant> grants)
{
    const auto known = sessions_.find(entry);
    if (known == sessions_.end())
        return; // The room is freed when the grants expire.
    auto request = known->second.grants.grantRequest();
    auto out = request.initGrants(static_cast<unsigned>(grants.size()));
    for (unsigned i = 0; i < out.size(); ++i)
        fill(out[i], grants[i]);
    if (!calls_)
        calls_ = std::make_unique<background_tasks>();
    // A call fails only if the link is broken, which ends the session.
    calls_->add(request.send().ignoreResult());
}

void placement_server::close()
{
    while (!sessions_.empty())
        end(sessions_.begin()->first);
    calls_.reset();
}

} // namespace glenhollow
