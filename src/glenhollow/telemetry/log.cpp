#include "glenhollow/telemetry/log.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

#include <array>
#include <ctime>
#include <iostream>

namespace glenhollow
{

namespace logging = boost::log;

namespace
{

log_format chosen_format = log_format::text;
std::string chosen_program = "glenhollow";

std::string time_text()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    ::gmtime_r(&now, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
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

} // namespace

void start_log(log_format format, std::string_view program)
{
    chosen_format = format;
    chosen_program = program;
    using backend = logging::sinks::text_ostream_backend;
    auto stream = boost::make_shared<backend>();
    stream->add_stream(
        boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    stream->auto_flush(true);
    using sink = logging::sinks::synchronous_sink<backend>;
    auto front = boost::make_shared<sink>(stream);
    front->set_formatter(logging::expressions::stream
                         << logging::expressions::smessage);
    logging::core::get()->remove_all_sinks();
    logging::core::get()->add_sink(front);
}

void log_change(log_level level, std::string_view event,
                std::initializer_list<log_field> fields)
{
    static logging::sources::logger_mt logger;
    BOOST_LOG(logger) << (chosen_format == log_format::json
                              ? as_json(level, event, fields)
                              : as_text(level, event, fields));
}

} // namespace glenhollow
