#include "platform/catalog_format.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace glenhollow;

namespace
{

/// @return A document with that number of routes.
std::string document_of(std::size_t routes)
{
    std::string text = R"({"version":7,"routes":[)";
    for (std::size_t i = 0; i < routes; ++i)
    {
        const auto n = std::to_string(i);
        text += (i == 0 ? "" : ",");
        text += R"({"name":"r-)" + n + R"(","host":"h)" +
                std::to_string(i % 40) + R"(.example","path_prefix":"/p)" + n +
                R"(/","kind":"unsafe","timeout_ms":1500,)"
                R"("target_latency_ms":60,"priority":1,"service":"desk",)"
                R"("max_attempts":3,"stretch":1.6})";
    }
    return text + R"(],"services":[],"limits":{"max_body_bytes":2000}})";
}

} // namespace

TEST_CASE("a large configuration is read completely, in short slices")
{
    const auto document = document_of(1440);
    const auto reading = platform::make_catalog_reader(document);
    std::size_t slices = 0;
    std::optional<result<queue_catalog>> read;
    while (!read)
    {
        read = reading->step();
        ++slices;
    }
    CHECK(slices >= 16);
    REQUIRE(*read);
    const auto& catalog = read->value();
    CHECK(catalog.version == 7);
    CHECK(catalog.max_body_bytes == 2000);
    REQUIRE(catalog.queues().size() == 1440);
    for (std::size_t i = 0; i < 1440; ++i)
    {
        const auto* found =
            catalog.find("h" + std::to_string(i % 40) + ".example:80",
                         "/p" + std::to_string(i) + "/x");
        REQUIRE(found != nullptr);
        CHECK(found->name == "r-" + std::to_string(i));
    }
    CHECK(catalog.find("h1.example", "/p0/x") == nullptr);
}

TEST_CASE("an invalid configuration is refused wherever the error is")
{
    auto document = document_of(1440);
    CHECK_FALSE(platform::parse_catalog(document.substr(0, 100'000)));
    CHECK_FALSE(platform::parse_catalog(document + "x"));
    document.replace(document.rfind(R"({"name":"r-1439")"), 0, "3,");
    CHECK_FALSE(platform::parse_catalog(document));
    CHECK_FALSE(platform::parse_catalog(""));
    CHECK_FALSE(platform::parse_catalog("null"));
}
