#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace glenhollow;

namespace
{

/// Flags as a program has them.
struct fixture
{
    unsigned slots = 8;
    std::string name = "a";
    bool verbose = false;
    log_format format = log_format::text;
    command_line line{"program", "about"};

    fixture()
    {
        line.number<unsigned>("slots", slots, 1, 64, "tasks", "about");
        line.identifier("name", name, "about");
        line.flag("verbose", verbose, "about");
        line.choice("log-format", format, "about");
    }

    std::string parse(std::vector<const char*> args)
    {
        args.insert(args.begin(), "program");
        const auto done =
            line.parse(static_cast<int>(args.size()), args.data());
        return done ? "" : done.error().text;
    }
};

} // namespace

TEST_CASE("flags win over the environment, which wins over defaults")
{
    fixture f;
    ::setenv("GLENHOLLOW_SLOTS", "16", 1);
    REQUIRE(f.parse({}).empty());
    REQUIRE(f.slots == 16);
    REQUIRE(
        f.parse({"--slots", "32", "--verbose", "--log-format=json"}).empty());
    REQUIRE(f.slots == 32);
    REQUIRE(f.verbose);
    REQUIRE(f.format == log_format::json);
    ::setenv("GLENHOLLOW_SLOTS", "many", 1);
    REQUIRE(f.parse({}) ==
            "--slots 'many' must be a whole number in 1..64 tasks");
    ::unsetenv("GLENHOLLOW_SLOTS");
    REQUIRE(f.parse({}).empty());
    REQUIRE(f.slots == 8);
}

TEST_CASE("wrong flags are told with the flag, the value and the range")
{
    fixture f;
    REQUIRE(f.parse({"--slots", "0"}) ==
            "--slots '0' must be a whole number in 1..64 tasks");
    REQUIRE(f.parse({"--slots", "1.5"}).find("whole") != std::string::npos);
    REQUIRE(f.parse({"--name", "a b"}).find("--name 'a b'") == 0);
    REQUIRE(f.parse({"--log-format", "xml"}) ==
            "--log-format 'xml' is not one of text, json");
    REQUIRE(f.parse({"--slotz", "1"}).find("slotz") != std::string::npos);
    REQUIRE(f.parse({"stray"}).find("positional") != std::string::npos);
    REQUIRE_FALSE(f.parse({"--slots"}).empty());
}
