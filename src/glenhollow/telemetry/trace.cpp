#include "glenhollow/telemetry/trace.hpp"

#include "glenhollow/core/random.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;
constexpr std::size_t header_length = 55;

std::string random_hex16()
{
    thread_local random_engine engine(random_incarnation());
    std::array<char, span_id_digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(engine() | 1U));
    return {text.data(), span_id_digits};
}

bool is_lower_hex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) {
                           return (c >= '0' && c <= '9') ||
                                  (c >= 'a' && c <= 'f');
                       });
}

bool is_all_zero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

json::object attribute(std::string_view key, std::string_view value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

} // namespace

std::optional<trace_context> trace_context::parse(std::string_view header)
{
    // 00-<trace id>-<span id>-<flags>
    if (header.size() != header_length || !header.starts_with("00-") ||
        header[35] != '-' || header[52] != '-')
        return std::nullopt;
    const auto trace = header.substr(3, trace_id_digits);
    const auto parent = header.substr(36, span_id_digits);
    const auto flags = header.substr(53, 2);
    if (!is_lower_hex(trace) || !is_lower_hex(parent) || !is_lower_hex(flags) ||
        is_all_zero(trace) || is_all_zero(parent))
        return std::nullopt;
    const bool odd =
        std::string_view("13579bdf").find(flags[1]) != std::string_view::npos;
    return trace_context{std::string(trace), std::string(parent), odd};
}

trace_context trace_context::fresh(bool sampled)
{
    return {random_hex16() + random_hex16(), random_hex16(), sampled};
}

trace_context trace_context::child() const
{
    return {trace_id, random_hex16(), sampled};
}

std::string trace_context::to_header() const
{
    return "00-" + trace_id + "-" + span_id + (sampled ? "-01" : "-00");
}

result<std::unique_ptr<span_exporter>>
span_exporter::create(const std::string& path, double share,
                      std::string program)
{
    std::FILE* file = std::fopen(path.c_str(), "a");
    if (!file)
        return failure{"cannot write spans to " + path + ": " +
                       std::strerror(errno)};
    return std::unique_ptr<span_exporter>(
        new span_exporter(file, share, std::move(program)));
}

span_exporter::span_exporter(std::FILE* file, double share, std::string program)
    : file_(file), share_(share), program_(std::move(program))
{
}

span_exporter::~span_exporter()
{
    std::fclose(file_);
}

bool span_exporter::sample()
{
    const std::lock_guard lock(mutex_);
    owed_ += share_;
    if (owed_ < 1.0)
        return false;
    owed_ -= 1.0;
    return true;
}

void span_exporter::write(const span& done)
{
    if (!done.context.sampled)
        return;
    json::array attributes;
    for (const auto& entry : done.attributes)
        attributes.push_back(attribute(entry.key, entry.value));
    json::object body{{"traceId", done.context.trace_id},
                      {"spanId", done.context.span_id},
                      {"parentSpanId", done.parent_id},
                      {"name", done.name},
                      {"kind", 1},
                      {"startTimeUnixNano", std::to_string(done.begin)},
                      {"endTimeUnixNano", std::to_string(done.end)},
                      {"attributes", std::move(attributes)}};
    json::object scope{{"scope", {{"name", "glenhollow"}}},
                       {"spans", json::array{std::move(body)}}};
    json::object resource{
        {"resource",
         {{"attributes", json::array{attribute("service.name", program_)}}}},
        {"scopeSpans", json::array{std::move(scope)}}};
    const json::object line{
        {"resourceSpans", json::array{std::move(resource)}}};
    const std::string text = json::serialize(line) + "\n";
    const std::lock_guard lock(mutex_);
    std::fwrite(text.data(), 1, text.size(), file_);
    std::fflush(file_);
}

} // namespace glenhollow
