// The links between the machines of a deployment, which the case can cut.
#ifndef GLENHOLLOW_REVIEW_LINKS_HPP
#define GLENHOLLOW_REVIEW_LINKS_HPP

#include "harness.hpp"

#include <atomic>
#include <list>
#include <set>

namespace review
{

/// Passes bytes between processes. A cut link holds all bytes and all new
/// connections until it heals, as a network does that says nothing.
class links final
{
public:
    links() : thread_([this] { run(); }) {}

    ~links()
    {
        stopping_ = true;
        thread_.join();
        for (auto& one : streams_)
        {
            ::close(one.from);
            if (one.to >= 0)
                ::close(one.to);
        }
        for (const auto& one : listeners_)
            ::close(one.fd);
    }

    links(const links&) = delete;
    links& operator=(const links&) = delete;

    /// @param name Name of the link, for cuts.
    void add(const std::string& name, const address& at, const address& target)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto where = socket_address(at);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&where),
                   sizeof where) != 0 ||
            ::listen(fd, 64) != 0)
            throw std::runtime_error("no port for a link at " + at.text());
        const std::lock_guard lock(mutex_);
        listeners_.push_back({fd, name, target});
    }

    void cut(const std::set<std::string>& names)
    {
        const std::lock_guard lock(mutex_);
        cut_ = names;
    }

    void heal() { cut({}); }

private:
    struct listener
    {
        int fd;
        std::string name;
        address target;
    };

    /// A connection; `to` is -1 until its target is called.
    struct stream
    {
        std::string name;
        address target;
        int from = -1;
        int to = -1;
        bool over = false;
    };

    static sockaddr_in socket_address(const address& of)
    {
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(static_cast<std::uint16_t>(of.port));
        ::inet_pton(AF_INET, of.host.c_str(), &where.sin_addr);
        return where;
    }

    void run()
    {
        while (!stopping_)
        {
            if (!turn())
                sleep_ms(0.2);
        }
    }

    /// @return Whether anything was passed on.
    bool turn()
    {
        const std::lock_guard lock(mutex_);
        bool moved = false;
        for (const auto& one : listeners_)
        {
            pollfd ready{one.fd, POLLIN, 0};
            if (cut_.contains(one.name) || ::poll(&ready, 1, 0) <= 0)
                continue;
            stream made;
            made.name = one.name;
            made.target = one.target;
            made.from = ::accept4(one.fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (made.from < 0)
                continue;
            made.to = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto where = socket_address(one.target);
            if (::connect(made.to, reinterpret_cast<const sockaddr*>(&where),
                          sizeof where) != 0)
                made.over = true; // Refused on loopback, at once.
            const int on = 1;
            ::setsockopt(made.from, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ::setsockopt(made.to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            streams_.push_back(made);
            moved = true;
        }
        for (auto& one : streams_)
        {
            if (one.over || cut_.contains(one.name))
                continue;
            moved = pass(one, one.from, one.to) || moved;
            moved = pass(one, one.to, one.from) || moved;
        }
        streams_.remove_if(
            [](const stream& one)
            {
                if (!one.over)
                    return false;
                ::close(one.from);
                ::close(one.to);
                return true;
            });
        return moved;
    }

    static bool pass(stream& one, int from, int to)
    {
        char bytes[65536];
        const auto n = ::recv(from, bytes, sizeof bytes, MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno != EAGAIN))
            one.over = true;
        if (n <= 0)
            return false;
        if (::send(to, bytes, static_cast<std::size_t>(n), MSG_NOSIGNAL) != n)
            one.over = true;
        return true;
    }

    std::mutex mutex_;
    std::vector<listener> listeners_;
    std::list<stream> streams_;
    std::set<std::string> cut_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace review

#endif
