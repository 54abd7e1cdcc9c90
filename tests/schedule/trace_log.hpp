#ifndef GLENHOLLOW_TESTS_TRACE_LOG_HPP
#define GLENHOLLOW_TESTS_TRACE_LOG_HPP

#include "simulated_node.hpp"

#include <memory>

namespace glenhollow
{

/// Adds the log lines of the product to the trace of a simulation, each with
/// the process that logged it. At most one instance may exist.
class trace_log final
{
public:
    /// @param time Must outlive the log.
    explicit trace_log(simulated_time& time);
    ~trace_log();

private:
    struct sink;
    std::unique_ptr<sink> sink_; ///< Log sink.
};

} // namespace glenhollow

#endif
