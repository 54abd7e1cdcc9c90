#include "soak/log_watch.hpp"

#include "glenhollow/core/run_after.hpp"

#include <filesystem>
#include <fstream>
#include <vector>

namespace glenhollow::soak
{

namespace
{

/// Short against the leases that a fault right after a line is to meet.
constexpr duration look_interval = milliseconds{5};

} // namespace

log_watch::log_watch(boost::asio::io_context& io) : io_(io) {}

void log_watch::await(const std::string& log, const std::string& event,
                      instant until, handler done)
{
    std::error_code ec;
    const auto size = std::filesystem::file_size(log, ec);
    waiting_.push_back({log,
                        event,
                        until,
                        std::move(done),
                        ec ? 0 : static_cast<std::streamoff>(size),
                        {}});
    if (!std::exchange(looks_, true))
        look();
}

void log_watch::look()
{
    const auto now = process_clock().now();
    std::vector<std::pair<handler, bool>> told;
    for (auto one = waiting_.begin(); one != waiting_.end();)
    {
        const bool there = came(*one);
        if (!there && now < one->until)
        {
            ++one;
            continue;
        }
        told.emplace_back(std::move(one->done), there);
        one = waiting_.erase(one);
    }
    for (const auto& [done, there] : told)
        done(there);
    looks_ = !waiting_.empty();
    if (looks_)
        run_after(io_, look_interval, [this] { look(); });
}

bool log_watch::came(waiting& one)
{
    std::ifstream file(one.log);
    file.seekg(one.at);
    std::string added(std::istreambuf_iterator<char>(file), {});
    one.at += static_cast<std::streamoff>(added.size());
    one.rest += added;
    const auto found = one.rest.find(one.event);
    const auto line = one.rest.rfind('\n');
    if (line != std::string::npos && found == std::string::npos)
        one.rest.erase(0, line + 1);
    return found != std::string::npos;
}

} // namespace glenhollow::soak
