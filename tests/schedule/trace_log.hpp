#ifndef GLENHOLLOW_TESTS_TRACE_LOG_HPP
#define GLENHOLLOW_TESTS_TRACE_LOG_HPP

#include "simulated_node.hpp"

#include <memory>

namespace glenhollow
{

/// Writes what the parts of the product log into the order of events of a
/// simulation, each line with the process that it is of. One at a time.
class trace_log final
{
public:
    /// @param time Outlives it.
    explicit trace_log(simulated_time& time);
    ~trace_log();

private:
    struct sink;
    std::unique_ptr<sink> sink_; ///< Takes the lines.
};

} // namespace glenhollow

#endif
