#ifndef GLENHOLLOW_CORE_RUN_AFTER_HPP
#define GLENHOLLOW_CORE_RUN_AFTER_HPP

#include "glenhollow/core/clock.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace glenhollow
{

/// Runs a function once after a while, unless the context ends before.
/// @param io Runs it.
/// @param wait From now.
/// @param work The function.
void run_after(boost::asio::io_context& io, duration wait,
               std::function<void()> work);

} // namespace glenhollow

#endif
