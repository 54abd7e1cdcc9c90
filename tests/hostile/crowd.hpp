#ifndef GLENHOLLOW_TESTS_HOSTILE_CROWD_HPP
#define GLENHOLLOW_TESTS_HOSTILE_CROWD_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/http/client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace glenhollow::hostile
{

/// What each connection of a crowd sends.
struct crowd_behaviour
{
    unsigned connections = 24;
    std::string opening; ///< Sent once.
    /// Replaces the opening if set: that of the connection with this number.
    std::function<std::string(unsigned)> opening_of{};
    /// Replaces opening and fillers if set: the request of the connection with
    /// the first number; each is sent once the one before is answered.
    std::function<std::string(unsigned, unsigned)> request_of{};
    unsigned requests = 0; ///< Requests of each connection.
    std::string filler{};  ///< Sent again and again after it; may be empty.
    std::size_t bytes = 0; ///< Bytes of fillers sent at most.
    /// Pause after each filler; with it, each one arrives alone.
    duration pause{};
};

/// Connections that send and never read. They stay open until the destruction.
class crowd final
{
public:
    crowd(const host_port& server, crowd_behaviour behaviour);

    /// Sends until each connection has sent all, was closed by the server, or
    /// could not send any more for a second.
    void send();

    /// @return Bytes sent by all connections.
    std::size_t sent() const { return sent_; }

private:
    struct member;

    static void limit_wait(const std::shared_ptr<member>& one);
    void connect(const std::shared_ptr<member>& one);
    void send_next(const std::shared_ptr<member>& one);
    void on_sent(const std::shared_ptr<member>& one, std::size_t bytes);
    void await_answer(const std::shared_ptr<member>& one);

    boost::asio::io_context io_;
    boost::asio::ip::tcp::endpoint server_;
    crowd_behaviour behaviour_;
    std::vector<std::shared_ptr<member>> members_;
    std::size_t sent_ = 0; ///< Bytes sent by all connections.
};

} // namespace glenhollow::hostile

#endif
