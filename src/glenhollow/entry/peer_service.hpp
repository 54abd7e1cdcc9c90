#ifndef GLENHOLLOW_ENTRY_PEER_SERVICE_HPP
#define GLENHOLLOW_ENTRY_PEER_SERVICE_HPP

#include "glenhollow/entry/caller_api.hpp"
#include "glenhollow/entry/control_plane.hpp"
#include "glenhollow/entry/operator_service.hpp"
#include "glenhollow/wire/glenhollow.capnp.h"

namespace glenhollow
{

/// RPC service that an entry offers to its peers. Runs on the control thread,
/// inside an rpc_loop.
class peer_service final : public wire::Peer::Server
{
public:
    /// @param plane The entry's control plane; must outlive the service.
    /// @param backend Interface for jobs; must outlive the service.
    /// @param operators Executes statements; must outlive the service.
    peer_service(control_plane& plane, entry_backend& backend,
                 operator_service& operators)
        : plane_(plane), backend_(backend), operators_(operators)
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override;
    kj::Promise<void> submit(SubmitContext context) override;
    kj::Promise<void> lookup(LookupContext context) override;
    kj::Promise<void> configuration(ConfigurationContext context) override;
    kj::Promise<void> operate(OperateContext context) override;
    kj::Promise<void> keep(KeepContext context) override;
    kj::Promise<void> holds(HoldsContext context) override;
    kj::Promise<void> members(MembersContext context) override;

private:
    control_plane& plane_;        ///< The entry's control plane.
    entry_backend& backend_;      ///< Interface for jobs.
    operator_service& operators_; ///< Executes statements.
};

} // namespace glenhollow

#endif
