#ifndef GLENHOLLOW_TESTS_SOAK_LOG_WATCH_HPP
#define GLENHOLLOW_TESTS_SOAK_LOG_WATCH_HPP

#include "glenhollow/core/clock.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <list>
#include <string>

namespace glenhollow::soak
{

/// Waits for events in the logs of processes, so that a fault can strike right
/// after one.
class log_watch final
{
public:
    /// Told whether the line came.
    using handler = std::function<void(bool)>;

    /// @param io Runs the looks.
    explicit log_watch(boost::asio::io_context& io);

    /// @param log File; only what is added from now on counts.
    /// @param event Name of an event of the log.
    /// @param until When to give up.
    /// @param done Called once.
    void await(const std::string& log, const std::string& event, instant until,
               handler done);

    /// @return Whether nothing is awaited.
    bool calm() const { return waiting_.empty(); }

private:
    /// One event that is awaited.
    struct waiting
    {
        std::string log;     ///< File.
        std::string event;   ///< Its name.
        instant until{};     ///< When to give up.
        handler done;        ///< Told.
        std::streamoff at{}; ///< Read so far.
        std::string rest;    ///< Of a line that has not ended.
    };

    void look();
    static bool came(waiting& one);

    boost::asio::io_context& io_; ///< Runs the looks.
    std::list<waiting> waiting_;  ///< All.
    bool looks_ = false;          ///< A look is due.
};

} // namespace glenhollow::soak

#endif
