#include "standins/member_view.hpp"

#include "platform/rows_format.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

const member_view view{4000, "127.1.1.2", 5000};

std::string shown(const std::string& row)
{
    return rewritten_member(view, platform::to_base64(row));
}

} // namespace

TEST_CASE("member view: others are shown at the reader's own port")
{
    CHECK(shown(R"(["entry","127.1.1.3:777","memo",12])") ==
          platform::to_base64(R"(["entry","127.1.1.3:5000","memo",12])"));
}

TEST_CASE("member view: the reader's own row is left alone")
{
    const std::string row = R"(["entry","127.1.1.2:777"])";
    CHECK(shown(row) == platform::to_base64(row));
}

TEST_CASE("member view: what is no member's row stays as it is")
{
    for (const std::string row :
         {"", "[]", "{}", R"(["entry"])", R"(["entry",5])", R"(["entry","x"])"})
        CHECK(shown(row) == platform::to_base64(row));
    CHECK(rewritten_member(view, "?") == "?");
}

TEST_CASE("member view: a list of views is read, or its wrong part is named")
{
    const auto views =
        parse_member_views("4000=127.1.1.2:5000,4001=127.1.1.3:5001");
    REQUIRE(views);
    REQUIRE(views.value().size() == 2);
    CHECK(views.value()[1].port == 4001);
    CHECK(views.value()[1].host == "127.1.1.3");
    CHECK(views.value()[1].links == 5001);
    CHECK(parse_member_views("").value().empty());
    for (const std::string wrong : {"4000", "x=127.1.1.2:1", "0=127.1.1.2:1",
                                    "4000=127.1.1.2", "70000=127.1.1.2:1"})
        CHECK(!parse_member_views(wrong));
}
