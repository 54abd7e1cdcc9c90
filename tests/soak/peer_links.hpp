#ifndef GLENHOLLOW_TESTS_SOAK_PEER_LINKS_HPP
#define GLENHOLLOW_TESTS_SOAK_PEER_LINKS_HPP

#include "soak/faulty_link.hpp"

#include <memory>
#include <vector>

namespace glenhollow::soak
{

/// A process as its links see it.
struct peer_place
{
    host_port where;        ///< Where it listens for links.
    std::uint32_t hall = 0; ///< From 0.
};

/// The links between our own processes, one for each pair and direction of
/// calling: each entry finds another process at the other's address, but at a
/// port of its own, where its proxy listens. Entries tell hosts of agents by
/// these addresses, so a host shares the links of the entry that asked it.
class peer_links final
{
public:
    /// @param io Runs them.
    /// @param places The processes, entries first, each at a port of its own.
    /// @param entries How many of them are entries.
    peer_links(boost::asio::io_context& io,
               const std::vector<peer_place>& places, std::uint32_t entries);

    /// @param fault Of a peer, a process or two halls; begins now.
    void harm(const planned_fault& fault);

    /// @param fault The same.
    /// @return The processes whose links it harms, from 0.
    std::vector<std::uint32_t> touched(const planned_fault& fault) const;

    /// @return Whether no fault goes on.
    bool calm() const;

private:
    /// One link.
    struct peer_link
    {
        std::unique_ptr<faulty_link> link; ///< The link.
        std::uint32_t from = 0;            ///< Who calls.
        std::uint32_t to = 0;              ///< Whom.
    };

    bool is_of(const peer_link& one, std::size_t place,
               const planned_fault& fault) const;

    std::vector<peer_place> places_; ///< The processes.
    std::vector<peer_link> links_;   ///< See plan_settings::peers.
};

} // namespace glenhollow::soak

#endif
