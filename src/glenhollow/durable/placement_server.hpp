#ifndef GLENHOLLOW_DURABLE_PLACEMENT_SERVER_HPP
#define GLENHOLLOW_DURABLE_PLACEMENT_SERVER_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/durable/dispatcher.hpp"
#include "glenhollow/durable/placement_wire.hpp"
#include "glenhollow/rpc/rpc_loop.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace glenhollow
{

/// Places the tasks of other entries in one queue with this entry's own. Each
/// entry has a session, which receives its waiting tasks and sends it grants.
/// When a session ends, its tasks are dropped. Runs inside an rpc_loop.
class placement_server final : public grant_sender
{
public:
    /// @param clock Must outlive the server.
    /// @param queue Places the tasks; must outlive the server.
    /// @param on_change Called when tasks may have become placeable.
    placement_server(const clock_source& clock, dispatcher& queue,
                     std::function<void()> on_change);
    ~placement_server() noexcept override;

    /// Opens a session for an entry.
    /// @param grants Receives the grants to its tasks.
    /// @return The session; an earlier one of the same entry ends.
    wire::PlacementSession::Client open(const std::string& entry,
                                        wire::PlacementGrants::Client grants);

    /// @return Whether any entry has a session.
    bool active() const { return !sessions_.empty(); }

    /// Ends all sessions. Must be called while the event loop lives.
    void close();

    void grant(entry_number entry, std::vector<task_grant> grants) override;

private:
    class session_server;

    /// The session of one entry.
    struct session
    {
        std::string entry;                    ///< Name of the entry.
        wire::PlacementGrants::Client grants; ///< Receives its grants.
    };

    void apply(entry_number entry, const placement_update& message);
    void end(entry_number entry);

    const clock_source& clock_;
    dispatcher& queue_;               ///< Places the tasks.
    std::function<void()> on_change_; ///< Called when tasks may have become
                                      ///< placeable.
    std::map<entry_number, session> sessions_; ///< Sessions by number.
    entry_number last_number_ = 0;            ///< Number of the newest session.
    std::unique_ptr<background_tasks> calls_; ///< Grant calls in progress.
    /// Guards sessions that outlive the server.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace glenhollow

#endif
