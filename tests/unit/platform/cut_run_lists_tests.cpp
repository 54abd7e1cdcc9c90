// Guards against a cut list of ends that is taken for a complete one, so that
// runs that it does not name count as lapsed.
#include "platform/run_lists_format.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace glenhollow::platform;

namespace
{

/// @return A body with the given number of ends.
std::string lists_with(std::size_t ends, const std::string& task)
{
    std::string finished;
    for (std::size_t number = 1; number <= ends; ++number)
        finished += (number == 1 ? "[" : ",[") + std::to_string(number) +
                    ",\"" + task + "\"," + std::to_string(number) +
                    ",\"done\",\"\"]";
    return R"({"clock_ms":5,"running":[],"finished":[)" + finished + "]}";
}

bool lists_all_ends(std::size_t ends, const std::string& task)
{
    const auto lists = decode_run_lists(lists_with(ends, task));
    REQUIRE(lists);
    return lists.value().lists_all_ends;
}

} // namespace

TEST_CASE("a list with as many ends as an answer holds may have been cut",
          "[cut_end_list]")
{
    const std::string task = "5c0e7a21d94b36f8.0.1.9";
    CHECK(lists_all_ends(0, task));
    CHECK(lists_all_ends(max_listed_ends - 1, task));
    CHECK_FALSE(lists_all_ends(max_listed_ends, task));
}

TEST_CASE("ends of other deployments take room in a cut list too",
          "[cut_end_list]")
{
    CHECK_FALSE(lists_all_ends(max_listed_ends, "not-a-task"));
}
