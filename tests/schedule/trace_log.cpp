#include "trace_log.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

#include <string>

namespace glenhollow
{

namespace logging = boost::log;

namespace
{

class trace_backend final
    : public logging::sinks::basic_formatted_sink_backend<char>
{
public:
    explicit trace_backend(simulated_time& time) : time_(time) {}

    void consume(const logging::record_view&, const std::string& line)
    {
        // Omits the time of day, the level and the program.
        const auto event = line.find("event=");
        time_.trace(
            [&]
            {
                const auto* by = time_.active_process;
                return (by ? *by : std::string("world")) + " logs " +
                       line.substr(event == std::string::npos ? 0 : event);
            });
    }

private:
    simulated_time& time_;
};

using trace_sink = logging::sinks::synchronous_sink<trace_backend>;

} // namespace

struct trace_log::sink
{
    boost::shared_ptr<trace_sink> front;
};

trace_log::trace_log(simulated_time& time) : sink_(std::make_unique<sink>())
{
    sink_->front =
        boost::make_shared<trace_sink>(boost::make_shared<trace_backend>(time));
    sink_->front->set_formatter(logging::expressions::stream
                                << logging::expressions::smessage);
    // Rate limits by real time would make the trace nondeterministic.
    constexpr double all_lines = 1e9;
    limit_log({all_lines, all_lines});
    logging::core::get()->add_sink(sink_->front);
    logging::core::get()->set_logging_enabled(true);
}

trace_log::~trace_log()
{
    logging::core::get()->set_logging_enabled(false);
    logging::core::get()->remove_sink(sink_->front);
    limit_log({});
}

} // namespace glenhollow
