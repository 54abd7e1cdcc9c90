// Stands between a stand-in for a backend server and its agent, and names the
// kind of the server in its heartbeats.
#ifndef GLENHOLLOW_REVIEW_RELABEL_HPP
#define GLENHOLLOW_REVIEW_RELABEL_HPP

#include "harness.hpp"

#include <atomic>

namespace review
{

/// Passes the calls of one backend server on to its agent.
class relabel final
{
public:
    /// @param at Where the backend server calls.
    /// @param agent Where the agent expects heartbeats.
    relabel(address at, address agent, std::string kind)
        : agent_(std::move(agent)), kind_(std::move(kind))
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(static_cast<std::uint16_t>(at.port));
        ::inet_pton(AF_INET, at.host.c_str(), &where.sin_addr);
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&where),
                   sizeof where) != 0 ||
            ::listen(listener_, 16) != 0)
            throw std::runtime_error("no port for heartbeats");
        thread_ = std::thread([this] { run(); });
    }

    ~relabel()
    {
        stopping_ = true;
        thread_.join();
        ::close(listener_);
    }

    relabel(const relabel&) = delete;
    relabel& operator=(const relabel&) = delete;

    /// @param kind Kind of the incarnations from now on.
    void set_kind(const std::string& kind)
    {
        const std::lock_guard lock(mutex_);
        kind_ = kind;
    }

private:
    void run()
    {
        while (!stopping_)
        {
            pollfd one{listener_, POLLIN, 0};
            if (::poll(&one, 1, 50) <= 0)
                continue;
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            serve(fd);
            ::close(fd);
        }
    }

    /// One call a connection: the server opens another one for its next call.
    void serve(int fd)
    {
        std::string got;
        std::size_t length = 0;
        std::size_t head = std::string::npos;
        while (head == std::string::npos || got.size() < head + 4 + length)
        {
            pollfd one{fd, POLLIN, 0};
            char bytes[8192];
            if (::poll(&one, 1, 500) <= 0)
                return;
            const auto n = ::recv(fd, bytes, sizeof bytes, 0);
            if (n <= 0)
                return;
            got.append(bytes, static_cast<std::size_t>(n));
            if (head != std::string::npos)
                continue;
            head = got.find("\r\n\r\n");
            const auto field = got.find("Content-Length: ");
            if (head != std::string::npos && field < head)
                length = std::strtoul(got.c_str() + field + 16, nullptr, 10);
        }
        const auto method = got.substr(0, got.find(' '));
        const auto from = method.size() + 1;
        const auto path = got.substr(from, got.find(' ', from) - from);
        auto body = got.substr(head + 4, length);
        if (!body.empty())
        {
            auto account = json::parse(body).as_object();
            if (account.contains("labels"))
            {
                const std::lock_guard lock(mutex_);
                account["labels"] = json::array{kind_, "r1-1"};
            }
            body = json::serialize(account);
        }
        const auto told = call(agent_, method, path, "agent", body, 900);
        if (told.status == 0)
            return; // No answer.
        const std::string answer =
            "HTTP/1.1 " + std::to_string(told.status) +
            " Told\r\nContent-Type: application/json\r\nConnection: close\r\n"
            "Content-Length: " +
            std::to_string(told.body.size()) + "\r\n\r\n" + told.body;
        ::send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
    }

    address agent_;
    std::mutex mutex_;
    std::string kind_;
    int listener_ = -1;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace review

#endif
