#ifndef GLENHOLLOW_TELEMETRY_TRACE_HPP
#define GLENHOLLOW_TELEMETRY_TRACE_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/result.hpp"

#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace glenhollow
{

/// A place in a W3C trace: what a `traceparent` header says.
struct trace_context
{
    std::string trace_id; ///< 32 hex digits.
    std::string span_id;  ///< 16 hex digits: the parent of what follows.
    bool sampled = false; ///< Spans are written.

    /// @param header The value of a traceparent header.
    /// @return The context, or nothing where the header is not valid.
    static std::optional<trace_context> parse(std::string_view header);

    /// @param sampled Whether spans of the new trace are written.
    /// @return A new trace.
    static trace_context fresh(bool sampled);

    /// @return The same trace with a new span id.
    trace_context child() const;

    /// @return The value of a traceparent header.
    std::string to_header() const;
};

/// One attribute of a span.
struct span_attribute
{
    std::string key;   ///< Its name.
    std::string value; ///< Its value.
};

/// One hop of a request.
struct span
{
    std::string name;       ///< The hop: caller, queue, link, ...
    trace_context context;  ///< Its own place.
    std::string parent_id;  ///< Span id of its parent, may be empty.
    std::int64_t begin = 0; ///< Wall time, ns since 1970.
    std::int64_t end = 0;   ///< Wall time, ns since 1970.
    std::vector<span_attribute> attributes; ///< What a reader needs.
};

/// Writes spans as OTLP-JSON lines to a file; any thread.
class span_exporter final
{
public:
    /// @param path The file, appended to.
    /// @param share Share of the traces begun here that are written, 0..1.
    /// @param program Service name in the spans.
    /// @return The exporter, or why the file cannot be written.
    static result<std::unique_ptr<span_exporter>>
    create(const std::string& path, double share, std::string program);

    ~span_exporter();

    /// @return Whether a trace begun now is to be written.
    bool sample();

    /// @param done A finished span; dropped unless its trace is sampled.
    void write(const span& done);

private:
    span_exporter(std::FILE* file, double share, std::string program);

    std::mutex mutex_;    ///< Guards the file and the accumulator.
    std::FILE* file_;     ///< Open for appending.
    double share_;        ///< Of traces to write.
    double owed_ = 0;     ///< Accumulates shares up to one trace.
    std::string program_; ///< Service name.
};

} // namespace glenhollow

#endif
