#ifndef GLENHOLLOW_MEMBERSHIP_MEMBERSHIP_HPP
#define GLENHOLLOW_MEMBERSHIP_MEMBERSHIP_HPP

#include "glenhollow/membership/member.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace glenhollow
{

/// The VMs of the deployment, from the platform's list and from peers. The list
/// may be out of date. Does no I/O.
class membership final
{
public:
    /// Called after each change.
    using changed_handler = std::function<void()>;

    /// @param handler Called after each change.
    void on_changed(changed_handler handler)
    {
        changed_handler_ = std::move(handler);
    }

    /// Applies changes of the platform's list.
    /// @param changes New state of each changed VM.
    void apply(const std::vector<member>& changes);

    /// Adds VMs that a peer knows and this process does not. Known VMs are not
    /// changed.
    /// @param known VMs that the peer knows.
    void add_unknown(const std::vector<member>& known);

    /// @return All VMs that are not gone, by name.
    const member_map& members() const { return members_; }

    /// @param name Name of a VM.
    /// @return The VM, or null if it is unknown.
    const member* find(const std::string& name) const;

    /// @param role Role to select.
    /// @return All VMs with that role.
    std::vector<member> with_role(member_role role) const;

private:
    member_map members_;              ///< VMs that are not gone.
    changed_handler changed_handler_; ///< May be empty.
};

/// Orders candidates by rendezvous hashing, so that all nodes get the same
/// order without coordination and membership changes move few ranks.
/// @param key Key to place.
/// @param candidates Names of the candidates.
/// @return The candidates, best first.
std::vector<std::string> rendezvous_order(const std::string& key,
                                          std::vector<std::string> candidates);

/// Limits on the links between entries and backend servers.
struct link_subset_settings
{
    /// Entries in the backend server's own hall that link to it.
    std::size_t own_hall = 4;
    /// Entries in all other halls together that link to it.
    std::size_t other_halls = 2;
};

/// Selects the backend servers to which an entry links. Each backend server
/// gets the same small number of entries, so that none is left out and the
/// number of links per node does not grow with the deployment.
/// @param entry Name of the entry.
/// @param entries All entries, including this one.
/// @param runners All backend servers.
/// @param settings Limits on the links.
/// @return The selected backend servers.
std::vector<member> link_subset(const std::string& entry,
                                const std::vector<member>& entries,
                                const std::vector<member>& runners,
                                const link_subset_settings& settings);

} // namespace glenhollow

#endif
