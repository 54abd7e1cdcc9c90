// Guards against invalid configurations that are read as 0 or truncated to 32
// bits and so change priorities and attempts.
#include "glenhollow/durable/configuration_tracker.hpp"
#include "platform/catalog_format.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <string>
#include <vector>

using namespace glenhollow;

namespace
{

const std::string good =
    R"({"version":7,"routes":[)"
    R"({"name":"r-1","host":"a.example","path_prefix":"/x/","service":"s-1"},)"
    R"({"name":"r-2","host":"a.example","path_prefix":"/y/","kind":"unsafe",)"
    R"("timeout_ms":1500,"target_latency_ms":60,"priority":2,"service":"s-2",)"
    R"("max_attempts":3,"stretch":1.6,"news":{}}],)"
    R"("services":[{"name":"s-1"},{"name":"s-2","tls":false}],)"
    R"("limits":{"max_body_bytes":2000},"later":[]})";

/// A replacement that makes the document invalid, and the field named in the
/// error.
struct bad_change
{
    std::string field;
    std::string from;
    std::string to;
};

const std::vector<bad_change> bad_documents{
    {"version", R"("version":7,)", ""},
    {"version", R"("version":7)", R"("version":0)"},
    {"version", R"("version":7)", R"("version":"7")"},
    {"version", R"("version":7)", R"("version":7.5)"},
    {"version", R"("version":7)", R"("version":-7)"},
    {"version", R"("version":7)", R"("version":1e300)"},
    {"routes", R"("routes":[)", R"("ways":[)"},
    {"routes[0]", R"({"name":"r-1")", R"(5,{"name":"r-1")"},
    {"routes[0].name", R"("name":"r-1",)", ""},
    {"routes[0].name", R"("r-1")", "1"},
    {"routes[0].host", R"("host":"a.example",)", ""},
    {"routes[0].host", R"("a.example")", "[]"},
    {"routes[0].path_prefix", R"("path_prefix":"/x/",)", ""},
    {"routes[0].path_prefix", R"("/x/")", R"("x/")"},
    {"routes[0].path_prefix", R"("/x/")", "true"},
    {"routes[0].service", R"(,"service":"s-1")", ""},
    {"routes[0].service", R"("service":"s-1")", R"("service":{})"},
    {"routes[0].service", R"("service":"s-1")", R"("service":"s-3")"},
    {"routes[1].priority", R"("priority":2)", R"("priority":"2")"},
    {"routes[1].priority", R"("priority":2)", R"("priority":-2)"},
    {"routes[1].priority", R"("priority":2)", R"("priority":4294967296)"},
    {"routes[1].max_attempts", R"("max_attempts":3)", R"("max_attempts":[])"},
    {"routes[1].max_attempts", R"("max_attempts":3)",
     R"("max_attempts":4294967297)"},
    {"routes[1].stretch", "1.6", R"("1.6")"},
    {"routes[1].stretch", "1.6", "-1.6"},
    {"routes[1].stretch", "1.6", "1e300"},
    {"routes[1].target_latency_ms", R"("target_latency_ms":60)",
     R"("target_latency_ms":null)"},
    {"routes[1].target_latency_ms", R"("target_latency_ms":60)",
     R"("target_latency_ms":1e18)"},
    {"services", R"("services":[{"name":"s-1"},{"name":"s-2","tls":false}])",
     R"("services":"s-1")"},
    {"services[0]", R"([{"name":"s-1"},)", R"(["s-1",)"},
    {"services[1].name", R"({"name":"s-2")", R"({"name":2)"},
    {"limits", R"({"max_body_bytes":2000})", "5"},
    {"limits.max_body_bytes", "2000", R"("2000")"},
    {"limits.max_body_bytes", "2000", "-1"},
};

std::string replaced(std::string text, const std::string& from,
                     const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE(
    "a valid configuration is decoded, with optional fields absent or present")
{
    const auto read = platform::parse_catalog(good);
    REQUIRE(read);
    const auto& queues = read.value().queues();
    REQUIRE(queues.size() == 2);
    CHECK(queues[0].priority == 0);
    CHECK(queues[0].max_attempts == 1);
    CHECK(queues[0].stretch == 1.0);
    CHECK(queues[0].target_ms == 0);
    CHECK(queues[1].priority == 2);
    CHECK(queues[1].max_attempts == 3);
    CHECK(queues[1].stretch == 1.6);
    CHECK(queues[1].target_ms == 60);
    CHECK(read.value().max_body_bytes == 2000);
    for (const auto* missing :
         {R"(,"limits":{"max_body_bytes":2000})", R"("max_body_bytes":2000)",
          R"(,"services":[{"name":"s-1"},{"name":"s-2","tls":false}])",
          R"({"name":"s-1"},{"name":"s-2","tls":false})"})
    {
        INFO(missing);
        CHECK(platform::parse_catalog(replaced(good, missing, "")));
    }
}

TEST_CASE(
    "a configuration with an invalid field is refused and the error names it")
{
    for (const auto& bad : bad_documents)
    {
        const auto document = replaced(good, bad.from, bad.to);
        INFO(document);
        const auto read = platform::parse_catalog(document);
        REQUIRE_FALSE(read);
        INFO(read.error().text);
        CHECK(read.error().text.find(bad.field + " is ") == 0);
        CHECK(read.error().text.find(", expected ") != std::string::npos);
    }
}

TEST_CASE("a refused or older configuration leaves the current one in force")
{
    manual_clock clock;
    std::deque<std::function<void()>> later;
    configuration_tracker tracker{
        {clock, platform::make_catalog_reader,
         [&later](std::function<void()> work)
         { later.push_back(std::move(work)); },
         [](const std::string&, const configuration_tracker::copy_handler&) {},
         [] {}},
        {}};
    const auto offer = [&](const std::string& document)
    {
        tracker.offer_from_store(document);
        while (!later.empty())
        {
            const auto work = std::move(later.front());
            later.pop_front();
            work();
        }
        return tracker.catalog().version;
    };
    CHECK(offer(good) == 7);
    const auto newer = replaced(good, R"("version":7)", R"("version":9)");
    for (const auto& bad : bad_documents)
    {
        if (bad.field == "version")
            continue;
        const auto document = replaced(newer, bad.from, bad.to);
        INFO(document);
        CHECK(offer(document) == 7);
        CHECK(tracker.catalog().queues().size() == 2);
        CHECK(tracker.document() == good);
    }
    CHECK(offer(newer) == 9);
    CHECK(offer(good) == 9);
}
