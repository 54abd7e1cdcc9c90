#ifndef GLENHOLLOW_TESTS_SOAK_FAULTY_LINK_HPP
#define GLENHOLLOW_TESTS_SOAK_FAULTY_LINK_HPP

#include "soak/fault_plan.hpp"
#include "soak/link_proxy.hpp"

#include <list>

namespace glenhollow::soak
{

/// @param kind Of a fault of a link that goes on for a while.
/// @return How the link does meanwhile.
link_state state_of(fault_kind kind);

/// A link and its faults that go on.
class faulty_link final
{
public:
    /// @param io Runs it.
    /// @param where Where it listens.
    /// @param server Where it leads.
    faulty_link(boost::asio::io_context& io, const host_port& where,
                const host_port& server);

    /// @return Where it is called.
    host_port where() const { return proxy_.where(); }

    /// @return Whether no fault goes on.
    bool calm() const { return active_.empty(); }

    /// @param state How it does from now on; of several the last one counts,
    /// but a cut counts whatever comes after it.
    /// @param lasts How long; the link must live as long.
    void harm(link_state state, duration lasts);

    /// See link_proxy.
    void strand() { proxy_.strand(); }

private:
    void show();

    boost::asio::io_context& io_;  ///< Runs the timers.
    link_proxy proxy_;             ///< The link.
    std::list<link_state> active_; ///< Now.
};

} // namespace glenhollow::soak

#endif
