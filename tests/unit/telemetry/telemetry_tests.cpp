#include "glenhollow/telemetry/metrics.hpp"
#include "glenhollow/telemetry/trace.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("a traceparent is taken up and passed on")
{
    const std::string header =
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto context = trace_context::parse(header);
    REQUIRE(context);
    REQUIRE(context->sampled);
    REQUIRE(context->to_header() == header);
    const auto child = context->child();
    REQUIRE(child.trace_id == context->trace_id);
    REQUIRE(child.span_id != context->span_id);
    REQUIRE(trace_context::parse(child.to_header()));
}

TEST_CASE("headers that are no traceparent start a new trace")
{
    for (const std::string bad :
         {"", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
          "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
          "00-00000000000000000000000000000000-b7ad6b7169203331-01",
          "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
          "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"})
    {
        INFO(bad);
        REQUIRE_FALSE(trace_context::parse(bad));
    }
}

TEST_CASE("quantiles are exact for few samples and close for many")
{
    latency_summary summary;
    for (int i = 1; i <= 5; ++i)
        summary.add(i);
    REQUIRE(summary.quantile(0.5) == 3);
    for (int i = 6; i <= 10'000; ++i)
        summary.add(i);
    REQUIRE(summary.quantile(0.99) == Approx(9900).epsilon(0.02));
    REQUIRE(summary.count() == 10'000);
}

TEST_CASE("pages of two threads become one")
{
    metric_page one;
    one.counter("jobs_total", "Jobs", 2, R"(event="a")");
    metric_page other;
    other.counter("jobs_total", "Jobs", 3, R"(event="a")");
    other.gauge("open", "Open", 1);
    one.merge(other);
    const auto text = one.render();
    REQUIRE(text.find("glenhollow_jobs_total{event=\"a\"} 5") !=
            std::string::npos);
    REQUIRE(text.find("# TYPE glenhollow_open gauge") != std::string::npos);
}
