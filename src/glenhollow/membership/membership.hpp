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

/// The VMs as the platform's lagging list tells them. Pure state: whoever
/// reads the list feeds it, links correct it.
class membership final
{
public:
    /// Told after each change.
    using changed_handler = std::function<void()>;

    /// @param handler Told after each change.
    void on_changed(changed_handler handler)
    {
        changed_handler_ = std::move(handler);
    }

    /// Takes changes of the list.
    /// @param changes New state of each changed VM.
    void apply(const std::vector<member>& changes);

    /// Takes what a peer knows, for VMs that are unknown here.
    /// @param known The peer's members.
    void add_unknown(const std::vector<member>& known);

    /// @return All VMs that are not gone, by name.
    const member_map& members() const { return members_; }

    /// @param name A VM.
    /// @return The VM, or null.
    const member* find(const std::string& name) const;

    /// @param role What they are for.
    /// @return All such VMs.
    std::vector<member> with_role(member_role role) const;

private:
    member_map members_;              ///< Not gone.
    changed_handler changed_handler_; ///< May be empty.
};

/// Orders candidates for a key so that every node, without asking another,
/// ranks them alike and few ranks change with membership (rendezvous hashing).
/// @param key What is to be placed.
/// @param candidates Names.
/// @return The candidates, best first.
std::vector<std::string> rendezvous_order(const std::string& key,
                                          std::vector<std::string> candidates);

/// Limits on the links between entries and runners.
struct link_subset_settings
{
    std::size_t own_hall = 4;    ///< Entries of its own hall, for a runner.
    std::size_t other_halls = 2; ///< Entries of all other halls, likewise.
};

/// @param entry The entry that links.
/// @param entries All entries, that one among them.
/// @param runners All runners.
/// @param settings Limits.
/// @return The runners that the entry links to. Each runner has the same
/// small number of entries, so none is left without, and the state and
/// heartbeats of a node stay flat as halls grow.
std::vector<member> link_subset(const std::string& entry,
                                const std::vector<member>& entries,
                                const std::vector<member>& runners,
                                const link_subset_settings& settings);

} // namespace glenhollow

#endif
