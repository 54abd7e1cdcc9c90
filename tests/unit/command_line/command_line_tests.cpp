#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

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
    std::string address = "127.0.0.1";
    std::string store = "127.0.0.1:8169";
    std::string seeds;
    double share = 0.5;
    command_line line{"program", "about"};

    fixture()
    {
        line.number<unsigned>("slots", slots, 1, 64, "tasks", "about");
        line.identifier("name", name, "about");
        line.flag("verbose", verbose, "about");
        line.choice("log-format", format, "about");
        line.ip_number("address", address, "about");
        line.endpoint("store", store, "about");
        line.endpoints("seeds", seeds, "about");
        line.number<double>("share", share, 0, 1, "", "about");
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

TEST_CASE("addresses are told with the flag, the value and the form")
{
    fixture f;
    for (const std::string bad :
         {"", "10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
          "10.0.0.1:99999999999", "10.0.0.1:80x", "somewhere:80",
          "10.0.0.1: 80"})
    {
        INFO(bad);
        CHECK(f.parse({"--store", bad.c_str()}) ==
              "--store '" + bad + "' must be IP:PORT with a port in 1..65535");
        if (bad.empty())
            continue;
        const auto list = "10.0.0.1:80," + bad;
        const auto told = f.parse({"--seeds", list.c_str()});
        CHECK(told.find("--seeds '" + list + "' must be IP:PORT[,") == 0);
        CHECK(told.find("1..65535") != std::string::npos);
    }
    CHECK(f.store == "127.0.0.1:8169");
    CHECK(f.parse({"--address", "somewhere"}) ==
          "--address 'somewhere' must be an IP number");
    CHECK(f.parse({"--store", "10.0.0.1:80", "--seeds",
                   "10.0.0.1:80,10.0.0.2:81", "--address", "::1"})
              .empty());
    CHECK(f.store == "10.0.0.1:80");
    CHECK(f.seeds == "10.0.0.1:80,10.0.0.2:81");
}

TEST_CASE("numbers that are none, or no finite ones, are told with the range")
{
    fixture f;
    for (const std::string bad : {"nan", "inf", "-inf", "1e400", "", " 0.5",
                                  "0.5 ", "0,5", "-0.1", "1.1", "half"})
    {
        INFO(bad);
        CHECK(f.parse({"--share", bad.c_str()}) ==
              "--share '" + bad + "' must be a number in 0..1");
    }
    for (const std::string bad : {"-1", "65", "1e30", "8.5", "0x", "nan"})
    {
        INFO(bad);
        CHECK(f.parse({"--slots", bad.c_str()}) ==
              "--slots '" + bad + "' must be a whole number in 1..64 tasks");
    }
    CHECK(f.slots == 8);
    CHECK(f.share == 0.5);
}

TEST_CASE("a settings file with a bad value or an unknown flag is told so")
{
    const std::string path =
        "/tmp/glenhollow-command-line-" + std::to_string(::getpid()) + ".conf";
    const auto parsed = [&path](const std::string& text)
    {
        std::ofstream(path) << text;
        fixture f;
        f.line.node_file();
        return f.parse({"--node-file", path.c_str()});
    };
    CHECK(parsed("slots = 16\n").empty());
    CHECK(parsed("slots = 65\n") ==
          "--slots '65' must be a whole number in 1..64 tasks");
    CHECK(parsed("store = nowhere\n") ==
          "--store 'nowhere' must be IP:PORT with a port in 1..65535");
    CHECK(parsed("slotz = 1\n").find("slotz") != std::string::npos);
    CHECK_FALSE(parsed("{\"slots\":1}\n").empty());
    ::unlink(path.c_str());
    CHECK(parsed("").empty());
    ::unlink(path.c_str());
    fixture f;
    f.line.node_file();
    CHECK(f.parse({"--node-file", path.c_str()}).find(path) !=
          std::string::npos);
}
