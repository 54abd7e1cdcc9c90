#ifndef GLENHOLLOW_TESTS_SOAK_LINK_PROXY_HPP
#define GLENHOLLOW_TESTS_SOAK_LINK_PROXY_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"
#include "glenhollow/http/client.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace glenhollow::soak
{

/// How a link does.
enum class link_state : std::uint8_t
{
    well,         ///< Passes everything on.
    slow,         ///< Everything comes later.
    silent,       ///< Passes nothing on, either way, until it is well again.
    deaf,         ///< Passes calls on, but no answers, until it is well again.
    reset,        ///< Breaks its connections, also new ones.
    mute,         ///< Passes answers on, but no calls, until it is well again.
    slow_calls,   ///< Only calls come later.
    slow_answers, ///< Only answers come later.
    cut           ///< Silent, whatever else is wrong with it.
};

/// One link of a process to a server, on a loopback address: what is held back
/// comes later, as it does after a cut of the network.
class link_proxy final
{
public:
    /// @param io Runs it.
    /// @param where Where it listens; port 0: one that the kernel picks.
    /// @param server Where it leads.
    link_proxy(boost::asio::io_context& io, const host_port& where,
               const host_port& server);
    ~link_proxy();

    /// @return Where it is called.
    host_port where() const;

    /// @param state How it does from now on.
    void set(link_state state);

    /// What is open now passes nothing on any more, for good; neither end is
    /// told, as when a device between them forgets a connection. New ones work.
    void strand();

private:
    struct state;
    std::shared_ptr<state> state_; ///< Shared with its connections.
};

} // namespace glenhollow::soak

#endif
