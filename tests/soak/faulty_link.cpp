#include "soak/faulty_link.hpp"

#include "glenhollow/core/run_after.hpp"

#include <algorithm>

namespace glenhollow::soak
{

link_state state_of(fault_kind kind)
{
    switch (kind)
    {
    case fault_kind::link_slow:
    case fault_kind::peer_slow:
        return link_state::slow;
    case fault_kind::link_silent:
    case fault_kind::peer_silent:
        return link_state::silent;
    case fault_kind::link_deaf:
    case fault_kind::peer_deaf:
        return link_state::deaf;
    case fault_kind::link_reset:
    case fault_kind::peer_reset:
        return link_state::reset;
    case fault_kind::peer_mute:
        return link_state::mute;
    case fault_kind::peer_slow_calls:
        return link_state::slow_calls;
    case fault_kind::peer_slow_answers:
        return link_state::slow_answers;
    case fault_kind::process_cut:
    case fault_kind::hall_cut:
        return link_state::cut;
    default:
        return link_state::well;
    }
}

faulty_link::faulty_link(boost::asio::io_context& io, const host_port& where,
                         const host_port& server)
    : io_(io), proxy_(io, where, server)
{
}

void faulty_link::harm(link_state state, duration lasts)
{
    active_.push_back(state);
    const auto place = std::prev(active_.end());
    show();
    run_after(io_, lasts,
              [this, place]
              {
                  active_.erase(place);
                  show();
              });
}

void faulty_link::show()
{
    const bool cut = std::find(active_.begin(), active_.end(),
                               link_state::cut) != active_.end();
    proxy_.set(cut               ? link_state::cut
               : active_.empty() ? link_state::well
                                 : active_.back());
}

} // namespace glenhollow::soak
