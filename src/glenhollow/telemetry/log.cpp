#include "glenhollow/telemetry/log.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

#include "glenhollow/core/clock.hpp"

#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <ctime>
#include <mutex>

namespace glenhollow
{

namespace logging = boost::log;

namespace
{

log_format chosen_format = log_format::text;
std::string chosen_program = "glenhollow";

std::string time_text()
{
    constexpr std::int64_t ns_per_ms = 1'000'000;
    constexpr std::int64_t ms_per_s = 1'000;
    const auto now_ms = wall_nanoseconds() / ns_per_ms;
    const std::time_t now = now_ms / ms_per_s;
    std::tm parts{};
    ::gmtime_r(&now, &parts);
    std::array<char, 32> seconds{};
    std::strftime(seconds.data(), seconds.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "%s.%03dZ", seconds.data(),
                  static_cast<int>(now_ms % ms_per_s));
    return text.data();
}

std::string quoted(std::string_view text)
{
    return boost::json::serialize(
        boost::json::value(boost::json::string(text.data(), text.size())));
}

bool needs_quotes(std::string_view text)
{
    return text.empty() ||
           text.find_first_of(" =\"\n\t") != std::string_view::npos;
}

std::string as_text(log_level level, std::string_view event,
                    std::initializer_list<log_field> fields)
{
    std::string line = "time=" + time_text();
    line.append(" level=").append(to_name(level));
    line.append(" program=").append(chosen_program);
    line.append(" event=").append(event);
    for (const auto& field : fields)
    {
        line.append(1, ' ').append(field.key).append(1, '=');
        line.append(needs_quotes(field.value) ? quoted(field.value)
                                              : field.value);
    }
    return line;
}

std::string as_json(log_level level, std::string_view event,
                    std::initializer_list<log_field> fields)
{
    std::string line = R"({"time":")" + time_text();
    line.append(R"(","level":")").append(to_name(level));
    line.append(R"(","program":)").append(quoted(chosen_program));
    line.append(R"(,"event":)").append(quoted(event));
    for (const auto& field : fields)
    {
        line.append(1, ',').append(quoted(field.key)).append(1, ':');
        line.append(quoted(field.value));
    }
    return line.append(1, '}');
}

/// Writes lines to a descriptor, never waiting for its reader: a full pipe
/// costs lines, not requests.
class patient_backend final
    : public logging::sinks::basic_formatted_sink_backend<char>
{
public:
    /// @param descriptor Where lines go.
    explicit patient_backend(int descriptor) : descriptor_(descriptor) {}

    /// @param line One line without its end.
    void consume(const logging::record_view&, const std::string& line)
    {
        const std::string whole = line + "\n";
        ::pollfd ready{descriptor_, POLLOUT, 0};
        const bool writable =
            ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
        if (!writable || ::write(descriptor_, whole.data(), whole.size()) < 0)
            ++lost;
    }

    static inline std::atomic<std::uint64_t> lost = 0; ///< Lines not taken.

private:
    int descriptor_; ///< Where lines go.
};

std::mutex budget_guard;
log_budget budget;

log_permit permit_for(std::string_view event)
{
    const std::lock_guard lock(budget_guard);
    return budget.admit(event, process_clock().now());
}

} // namespace

void limit_log(const log_budget_settings& settings)
{
    const std::lock_guard lock(budget_guard);
    budget = log_budget(settings);
}

std::uint64_t lost_log_lines()
{
    return patient_backend::lost;
}

void start_log(log_format format, std::string_view program,
               log_destination destination)
{
    chosen_format = format;
    chosen_program = program;
    const int descriptor = destination == log_destination::standard_output
                               ? STDOUT_FILENO
                               : STDERR_FILENO;
    using sink = logging::sinks::synchronous_sink<patient_backend>;
    auto front = boost::make_shared<sink>(
        boost::make_shared<patient_backend>(descriptor));
    front->set_formatter(logging::expressions::stream
                         << logging::expressions::smessage);
    logging::core::get()->remove_all_sinks();
    logging::core::get()->add_sink(front);
}

void log_change(log_level level, std::string_view event,
                std::initializer_list<log_field> fields)
{
    static logging::sources::logger_mt logger;
    const auto permit = permit_for(event);
    if (!permit.write)
        return;
    if (permit.left_out > 0)
    {
        const std::initializer_list<log_field> said{{"of", event},
                                                    {"lines", permit.left_out}};
        BOOST_LOG(logger) << (chosen_format == log_format::json
                                  ? as_json(log_level::warning,
                                            "lines_left_out", said)
                                  : as_text(log_level::warning,
                                            "lines_left_out", said));
    }
    BOOST_LOG(logger) << (chosen_format == log_format::json
                              ? as_json(level, event, fields)
                              : as_text(level, event, fields));
}

} // namespace glenhollow
