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

/// Places the tasks of other entries in one queue with this entry's own. One
/// session for each of them: waiting tasks come in, grants go out. A session
/// takes its tasks along when it ends. Runs inside an rpc_loop.
class placement_server final : public grant_sender
{
public:
    /// @param clock Outlives the server.
    /// @param placing Queues and places the tasks; outlives the server.
    /// @param on_change Told that something may be placed.
    placement_server(const clock_source& clock, dispatcher& queue,
                     std::function<void()> on_change);
    ~placement_server() noexcept override;

    /// @param entry Its name.
    /// @param grants Told of places for its tasks.
    /// @return Its session; an earlier one of the same entry ends.
    wire::PlacementSession::Client open(const std::string& entry,
                                        wire::PlacementGrants::Client grants);

    /// @return Whether any entry has a session.
    bool active() const { return !sessions_.empty(); }

    /// Ends all sessions, while the event loop lives.
    void close();

    void grant(entry_number entry, std::vector<task_grant> grants) override;

private:
    class session_server;

    /// One entry's session.
    struct session
    {
        std::string entry;                    ///< Its name.
        wire::PlacementGrants::Client grants; ///< Its ear.
    };

    void apply(entry_number entry, const placement_update& message);
    void end(entry_number entry);

    const clock_source& clock_;                ///< This entry's.
    dispatcher& queue_;                        ///< Places the tasks.
    std::function<void()> on_change_;          ///< Told of changes.
    std::map<entry_number, session> sessions_; ///< By number.
    entry_number last_number_ = 0;             ///< Of sessions so far.
    std::unique_ptr<background_tasks> calls_;  ///< Grants that are out.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Guard.
};

} // namespace glenhollow

#endif
