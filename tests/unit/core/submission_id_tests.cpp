#include "glenhollow/core/submission_id.hpp"
#include "glenhollow/core/verdict.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("a submission id survives being written and read")
{
    const submission_id id{"h1", "e-2", 0x00ab, 77};
    REQUIRE(id.to_string() == "h1.e-2.00000000000000ab.77");
    REQUIRE(submission_id::parse(id.to_string()) == id);
}

TEST_CASE("texts that are no submission ids are told apart")
{
    const std::string good = "h1.e1.00000000000000ab.1";
    REQUIRE(submission_id::parse(good));
    for (const std::string bad :
         {"", "h1", "h1.e1.00000000000000ab", "h1.e1.ab.1",
          "h1.e1.00000000000000ab.0", "h1.e1.00000000000000ab.x",
          "h1.e1.00000000000000ab.1.2", "h 1.e1.00000000000000ab.1",
          "h1..00000000000000ab.1", "h1.e1.00000000000000ab.-1",
          "h1.e1.00000000000000ab.99999999999999999999"})
    {
        INFO(bad);
        REQUIRE_FALSE(submission_id::parse(bad));
    }
}

TEST_CASE("names have 1 to 64 letters of a small set")
{
    REQUIRE(is_name("desk_2-b"));
    REQUIRE(is_name(std::string(64, 'a')));
    REQUIRE_FALSE(is_name(std::string(65, 'a')));
    REQUIRE_FALSE(is_name(""));
    REQUIRE_FALSE(is_name("a.b"));
    REQUIRE_FALSE(is_name("a b"));
}

TEST_CASE("silence is not_run only when nothing was sent")
{
    REQUIRE(verdict_of_silence(send_progress::nothing_sent) ==
            verdict::not_run);
    REQUIRE(verdict_of_silence(send_progress::partly_sent) ==
            verdict::may_have_run);
}

TEST_CASE("every reason and verdict is read back from its name")
{
    for (std::size_t i = 0; i < name_table<reason>::names.size(); ++i)
    {
        const auto value = static_cast<reason>(i);
        REQUIRE(from_name<reason>(to_name(value)) == value);
    }
    REQUIRE_FALSE(from_name<verdict>("maybe"));
    REQUIRE(from_index<reason>(9999, reason::internal) == reason::internal);
}
