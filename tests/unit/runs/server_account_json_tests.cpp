#include "glenhollow/runs/server_account_json.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

TEST_CASE("an account is decoded as it was encoded")
{
    server_account account;
    account.service = "service-1";
    account.instance = "life-1";
    account.born_ms = 1'750'000'000'123;
    account.sequence = 17;
    account.zone = "hall-1";
    account.labels = {"kind-a", "rack-2"};
    account.capacity = {4000, 1000, 2};
    account.phase = server_phase::draining;
    const auto read = decode_server_account(encode_server_account(account));
    REQUIRE(read);
    CHECK(read.value().service == "service-1");
    CHECK(read.value().incarnation() == account.incarnation());
    CHECK(read.value().sequence == 17);
    CHECK(read.value().zone == "hall-1");
    CHECK(read.value().labels == account.labels);
    CHECK(read.value().capacity.cpu == 4000);
    CHECK(read.value().capacity.memory == 1000);
    CHECK(read.value().capacity.gpu == 2);
    CHECK(read.value().phase == server_phase::draining);
}

TEST_CASE("an older record without a start time is decoded")
{
    const auto read = decode_server_account(
        R"({"service":"s","instance":"i","zone":"z","labels":[],)"
        R"("room":[1,2,3],"phase":"ready"})");
    REQUIRE(read);
    CHECK(read.value().incarnation() == server_incarnation{"i", 0});
    CHECK(read.value().sequence == 0);
}

TEST_CASE("an invalid record is rejected")
{
    for (const auto* memo :
         {"", "[]", "{}", R"({"service":"s"})",
          R"({"service":"s","instance":"","zone":"z","labels":[],)"
          R"("room":[1,2,3],"phase":"ready"})",
          R"({"service":"s","instance":"i","zone":"z","labels":[],)"
          R"("room":[1,2],"phase":"ready"})",
          R"({"service":"s","instance":"i","zone":"z","labels":[],)"
          R"("room":[1,2,3],"phase":"asleep"})",
          R"({"service":"s","instance":"i","zone":"z","labels":[],)"
          R"("room":[1,2,3],"phase":"ready","born_ms":"x","sequence":1})",
          R"({"service":"s","instance":"i","zone":"z","labels":[],)"
          R"("room":[1,2,3],"phase":"ready","born_ms":5})"})
    {
        INFO(memo);
        CHECK_FALSE(decode_server_account(memo));
    }
}
