// Guards against invalid external input: it is rejected with the field named,
// and the known state stays unchanged.
#include "glenhollow/core/random.hpp"
#include "platform/rows_format.hpp"
#include "platform/run_lists_format.hpp"
#include "platform/server_heartbeat_format.hpp"
#include "platform/server_registration.hpp"
#include "unit/support/fake_runner_port.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;
using namespace glenhollow::platform;

namespace
{

constexpr lease_id entry_lease = memory_lease(0);

const std::string good_heartbeat =
    R"({"service":"service-1","address":"10.0.0.9:80","zone":"hall-1",)"
    R"("version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,)"
    R"("capacity":{"cpu":4000,"mem_mb":1000,"gpu":0},)"
    R"("labels":["a","r1-3"],"clock_ms":482113,"born":1750000000000,)"
    R"("sequence":4})";

const std::string good_lists =
    R"({"clock_ms":482113,"born":1750000000000,)"
    R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41]],)"
    R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

const std::string good_rows =
    R"({"rows":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x",)"
    R"("ver":412}],"more":false,"ver":530,"now_ms":51230})";

std::string replaced(std::string text, const std::string& from,
                     const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

/// A replacement that makes a body invalid, and the field named in the error.
struct bad_change
{
    std::string field;
    std::string from;
    std::string to;
};

const std::vector<bad_change> bad_heartbeats{
    {"service", R"("service":"service-1",)", ""},
    {"service", R"("service-1")", "5"},
    {"service", R"("service-1")", R"("")"},
    {"service", R"("service-1")", R"("service-2")"},
    {"zone", R"("zone":"hall-1",)", ""},
    {"zone", R"("hall-1")", "null"},
    {"state", R"("state":"ready",)", ""},
    {"state", R"("ready")", R"("sleeping")"},
    {"state", R"("ready")", "[]"},
    {"sequence", R"(,"sequence":4)", ""},
    {"sequence", R"("sequence":4)", R"("sequence":-3)"},
    {"sequence", R"("sequence":4)", R"("sequence":"4")"},
    {"sequence", R"("sequence":4)", R"("sequence":4.5)"},
    {"sequence", R"("sequence":4)", R"("sequence":1e300)"},
    {"born", "1750000000000", "true"},
    {"born", "1750000000000", "-1"},
    {"capacity", R"({"cpu":4000,"mem_mb":1000,"gpu":0})", "7"},
    {"capacity", R"("capacity":{"cpu":4000,"mem_mb":1000,"gpu":0},)", ""},
    {"capacity.cpu", R"("cpu":4000,)", ""},
    {"capacity.cpu", "4000", "4294967296"},
    {"capacity.mem_mb", "1000", R"("1000")"},
    {"labels", R"(["a","r1-3"])", "{}"},
    {"labels", R"(["a","r1-3"])", R"(["a",5])"},
    {"slots", R"("slots":8)", R"("slots":"many")"},
    {"clock_ms", "482113", "[]"},
    {"cold_remaining_ms", R"("cold_remaining_ms":0)",
     R"("cold_remaining_ms":"x")"},
};

/// Bodies that cannot be parsed.
std::vector<std::string> malformed_bodies()
{
    return {"",
            "{",
            "[]",
            "null",
            "\"x\"",
            "\xff\xfe\x80",
            std::string(3000, '[') + std::string(3000, ']'),
            std::string(100'000, '7'),
            R"({"service":"\ud800"})",
            good_heartbeat.substr(0, good_heartbeat.size() / 2)};
}

/// An agent whose backend server is known, answers, and runs a task.
struct known_server_fixture
{
    known_server_fixture()
    {
        server.incarnation = "server-1";
        server.born_ms = 1'750'000'000'000;
        manager.begin();
        put("server-1", good_heartbeat);
        run(milliseconds{50});
        run_order order;
        order.run = {{42, 0, 0, 0}, first_memory_run + 1};
        order.needs = {1000, 10, 0};
        manager.order(order, entry_lease);
        run(milliseconds{50});
        REQUIRE(server_unchanged());
    }

    unsigned put(const std::string& id, const std::string& body)
    {
        http_request request;
        request.method = "PUT";
        request.target = "/instances/" + id;
        request.body = body;
        unsigned status = 0;
        registration.handle(request, [&status](const http_response& answer)
                            { status = answer.status; });
        return status;
    }

    void run(duration length)
    {
        constexpr duration step = milliseconds{10};
        for (duration passed{}; passed < length; passed += step)
        {
            manager.renew(entry_lease, 0, loop.clock.now());
            manager.tick();
            loop.advance(step);
        }
    }

    /// @return Whether the server is known as it is, and its run goes on.
    bool server_unchanged()
    {
        const auto& known = manager.account();
        return known.instance == "server-1" &&
               known.phase == server_phase::ready &&
               known.capacity.cpu == 4000 && known.service == "service-1" &&
               known.labels.size() == 2 && server.running.size() == 1 &&
               manager.unconfirmed().empty();
    }

    manual_loop loop;
    fake_backend_server server{loop};
    run_manager manager{loop.clock, server, loop.delay(), 1000, {}};
    server_registration registration{manager, "service-1"};
};

/// @return The text with some bytes changed, cut out or put in.
std::string mutated(std::string text, random_engine& random)
{
    static const std::string bytes = "{}[]\",:.-0159eE\\ntruefals\x80\xff ";
    const auto changes = 1 + random() % 4;
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i)
    {
        const auto at = random() % text.size();
        const char byte = bytes[random() % bytes.size()];
        const auto kind = random() % 3;
        if (kind == 0)
            text[at] = byte;
        else if (kind == 1)
            text.erase(at, 1 + random() % 8);
        else
            text.insert(at, 1 + random() % 3, byte);
    }
    return text;
}

} // namespace

TEST_CASE("a valid heartbeat is decoded")
{
    const auto received =
        decode_heartbeat("server-1", good_heartbeat, "service-1");
    REQUIRE(received);
    const auto& account = received.value().account;
    CHECK(account.incarnation() ==
          server_incarnation{"server-1", 1'750'000'000'000});
    CHECK(account.service == "service-1");
    CHECK(account.zone == "hall-1");
    CHECK(account.phase == server_phase::ready);
    CHECK(account.sequence == 4);
    CHECK(account.capacity.cpu == 4000);
    CHECK(account.capacity.memory == 1000);
    CHECK(account.labels == std::vector<std::string>{"a", "r1-3"});
    CHECK(received.value().times.clock_ms == 482113);
    CHECK_FALSE(received.value().times.remaining);
}

TEST_CASE("unknown fields and integers written as 4.0 are accepted")
{
    CHECK(decode_heartbeat("server-1",
                           replaced(good_heartbeat, R"("slots":8)",
                                    R"("slots":8,"news":{"x":[null]})"),
                           {}));
    const auto received = decode_heartbeat(
        "server-1",
        replaced(good_heartbeat, R"("sequence":4)", R"("sequence":4.0)"), {});
    REQUIRE(received);
    CHECK(received.value().account.sequence == 4);
}

TEST_CASE("a heartbeat with an invalid field is rejected with its name")
{
    for (const auto& bad : bad_heartbeats)
    {
        const auto body = replaced(good_heartbeat, bad.from, bad.to);
        INFO(body);
        const auto received = decode_heartbeat("server-1", body, "service-1");
        REQUIRE_FALSE(received);
        CHECK(received.error().field == bad.field);
        CHECK(received.error().length == body.size());
    }
    for (const auto& body : malformed_bodies())
        CHECK_FALSE(decode_heartbeat("server-1", body, {}));
    CHECK_FALSE(decode_heartbeat("", good_heartbeat, {}));
    CHECK_FALSE(decode_heartbeat(std::string(201, 'x'), good_heartbeat, {}));
}

TEST_CASE("an invalid heartbeat leaves the known server unchanged")
{
    for (const auto* id : {"server-1", "server-2"})
    {
        known_server_fixture world;
        for (const auto& bad : bad_heartbeats)
        {
            const auto body = replaced(good_heartbeat, bad.from, bad.to);
            INFO(id << " " << body);
            CHECK(world.put(id, body) == 400);
            world.run(milliseconds{20});
            CHECK(world.server_unchanged());
        }
        for (const auto& body : malformed_bodies())
        {
            CHECK(world.put(id, body) == 400);
            world.run(milliseconds{20});
            CHECK(world.server_unchanged());
        }
        CHECK(world.put("server-1", good_heartbeat) == 200);
    }
}

TEST_CASE("invalid heartbeats are counted by field")
{
    known_server_fixture world;
    world.put("server-2", "{");
    world.put("server-2", replaced(good_heartbeat, R"("ready")", "[]"));
    world.put("server-2", replaced(good_heartbeat, R"("ready")", "7"));
    metric_page page;
    world.registration.collect(page);
    const auto text = page.render();
    CHECK(text.find(R"(heartbeats_unreadable_total{field="body"} 1)") !=
          std::string::npos);
    CHECK(text.find(R"(heartbeats_unreadable_total{field="state"} 2)") !=
          std::string::npos);
}

TEST_CASE("a valid heartbeat under a foreign id is not adopted")
{
    known_server_fixture world;
    CHECK(world.put("server-2", good_heartbeat) == 200);
    world.run(milliseconds{200});
    CHECK(world.server_unchanged());
    CHECK(world.manager.stats().stale_registrations == 1);
}

TEST_CASE("run lists with an invalid row are rejected")
{
    const auto good = decode_run_lists(good_lists);
    REQUIRE(good);
    CHECK(good.value().clock_ms == 482113);
    CHECK(good.value().born_ms == 1'750'000'000'000);
    REQUIRE(good.value().running.size() == 1);
    CHECK(good.value().running[0].run.run == 2);
    CHECK(good.value().running[0].percent == 41);
    REQUIRE(good.value().finished.size() == 1);
    CHECK(good.value().finished[0].number == 58);
    CHECK(good.value().finished[0].outcome == run_outcome::done);
    const std::vector<bad_change> bad_lists{
        {"running",
         R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41]],)", ""},
        {"running", R"([["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41]])", "{}"},
        {"running", R"(["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41])", "7"},
        {"running[0]", R"("5c0e7a21d94b36f8.0.1.17")", "null"},
        {"running[1]", ",2,", R"(,"2",)"},
        {"running[1]", R"(,2,"00000bb8",41)", ""},
        {"running[3]", ",41", ",[]"},
        {"finished",
         R"(,"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]])", ""},
        {"finished[0]", "[58,", "[0,"},
        {"finished[0]", "[58,", "[-1,"},
        {"finished[3]", R"("done")", "1"},
        {"born", "1750000000000", R"("x")"},
    };
    for (const auto& bad : bad_lists)
    {
        const auto body = replaced(good_lists, bad.from, bad.to);
        INFO(body);
        const auto received = decode_run_lists(body);
        REQUIRE_FALSE(received);
        CHECK(received.error().field == bad.field);
    }
    for (const auto& body : malformed_bodies())
        CHECK_FALSE(decode_run_lists(body));
}

TEST_CASE("an unknown outcome is an end and a foreign task is skipped")
{
    const auto odd =
        decode_run_lists(replaced(good_lists, R"("done")", R"("evaporated")"));
    REQUIRE(odd);
    CHECK(odd.value().finished[0].outcome == run_outcome::lapsed);
    const auto foreign = decode_run_lists(
        replaced(good_lists, "5c0e7a21d94b36f8.0.1.17", "somebody's"));
    REQUIRE(foreign);
    CHECK(foreign.value().running.empty());
    CHECK(foreign.value().foreign == 1);
}

TEST_CASE("store answers with an invalid row are rejected")
{
    const auto good = decode_rows(good_rows);
    REQUIRE(good);
    REQUIRE(good.value().rows.size() == 1);
    CHECK(good.value().rows[0].key.key == "owner");
    CHECK(good.value().rows[0].value == "node-1");
    CHECK(good.value().rows[0].version == 412);
    CHECK(good.value().version == 530);
    const std::vector<bad_change> bad_answers{
        {"rows", R"("rows":[{)", R"("lines":[{)"},
        {"rows",
         R"([{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x","ver":412}])",
         "7"},
        {"rows",
         R"({"table":"my","part":"p7","key":"owner","value":"bm9kZS0x","ver":412})",
         "7"},
        {"table", R"("table":"my",)", ""},
        {"key", R"("owner")", "5"},
        {"value", R"("bm9kZS0x")", R"("not base64!")"},
        {"ver", "412", "-1"},
        {"gone", R"("ver":412)", R"("ver":412,"gone":1)"},
        {"more", R"("more":false)", R"("more":"no")"},
    };
    for (const auto& bad : bad_answers)
    {
        const auto body = replaced(good_rows, bad.from, bad.to);
        INFO(body);
        const auto received = decode_rows(body);
        REQUIRE_FALSE(received);
        CHECK(received.error().field == bad.field);
    }
}

TEST_CASE("a commit answer without a valid version is rejected")
{
    CHECK(decode_commit(R"({"ver":531,"now_ms":5})").value() == 531);
    for (const auto* body : {"", "{}", "[]", R"({"ver":0})", R"({"ver":"531"})",
                             R"({"ver":-1})", R"({"ver":1e300})"})
    {
        INFO(body);
        CHECK_FALSE(decode_commit(body));
    }
}

TEST_CASE("an error of the whole body names the body")
{
    CHECK(decode_rows("{").error().field_path() == "body");
    CHECK(decode_rows("{}").error().field_path() == "rows");
}

TEST_CASE("base64 values are decoded to the original bytes")
{
    random_engine random(5);
    for (std::size_t length = 0; length < 200; ++length)
    {
        std::string bytes;
        for (std::size_t i = 0; i < length; ++i)
            bytes += static_cast<char>(random());
        const auto body = R"({"rows":[{"table":"t","key":"k","value":")" +
                          to_base64(bytes) + R"("}]})";
        const auto received = decode_rows(body);
        REQUIRE(received);
        CHECK(received.value().rows[0].value == bytes);
    }
}

// Guards against a length underflow for values that consist of padding.
TEST_CASE("invalid base64 padding is rejected")
{
    const auto body_with = [](const std::string& value) {
        return R"({"rows":[{"table":"t","key":"k","value":")" + value +
               R"("}]})";
    };
    for (const auto* value :
         {"====", "========", "=", "==", "Z===", "Zm9v====", "Zg==Zg==", "Z=9v",
          "=m9v", "Zg=v", "    Zm9v", "Zm9v\\n", "Zm9", "Zg"})
    {
        INFO(value);
        const auto received = decode_rows(body_with(value));
        REQUIRE_FALSE(received);
        CHECK(received.error().field == "value");
    }
    const std::vector<std::pair<std::string, std::string>> good{
        {"", ""}, {"Zg==", "f"}, {"Zm8=", "fo"}, {"Zm9v", "foo"}};
    for (const auto& [value, bytes] : good)
    {
        const auto received = decode_rows(body_with(value));
        REQUIRE(received);
        CHECK(received.value().rows[0].value == bytes);
    }
}

TEST_CASE("mutated heartbeats of another id do not change the server")
{
    random_engine random(7);
    known_server_fixture world;
    std::size_t taken = 0;
    for (int i = 0; i < 3000; ++i)
    {
        if (world.put("server-2", mutated(good_heartbeat, random)) == 200)
            ++taken;
        world.run(milliseconds{10});
        REQUIRE(world.server_unchanged());
    }
    CHECK(taken > 0); // Some mutations are still valid.
}

TEST_CASE("mutated input is decoded or rejected")
{
    random_engine random(11);
    std::size_t read = 0;
    for (int i = 0; i < 20'000; ++i)
    {
        read +=
            decode_heartbeat("s", mutated(good_heartbeat, random), {}) ? 1 : 0;
        read += decode_run_lists(mutated(good_lists, random)) ? 1 : 0;
        read += decode_rows(mutated(good_rows, random)) ? 1 : 0;
    }
    CHECK(read > 0);
}
