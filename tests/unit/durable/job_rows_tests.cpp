#include "glenhollow/durable/durable_job.hpp"
#include "glenhollow/durable/queue_catalog.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

job_definition sample()
{
    job_definition job;
    job.id = 0x00c0ffee12345678;
    job.spec = "text \"quoted\"";
    job.steps.resize(2);
    job.steps[0].count = 3;
    job.steps[0].needs = {1600, 64, 0};
    job.steps[0].estimate_ms = 60;
    job.steps[1].label = "kind-a";
    job.steps[1].preferred_label = "rack-3";
    job.steps[1].estimate_ms = 100;
    job.steps[1].after = {0};
    return job;
}

queue_rule rule()
{
    queue_rule out;
    out.name = "queue-1";
    out.service = "service-1";
    out.max_attempts = 2;
    out.stretch = 1.5;
    out.target_ms = 60;
    return out;
}

} // namespace

TEST_CASE("a job id is accepted only as 16 hexadecimal digits")
{
    CHECK(to_text(0xabc) == "0000000000000abc");
    CHECK(job_id_from("0000000000000abc") == 0xabcU);
    CHECK_FALSE(job_id_from("abc"));
    CHECK_FALSE(job_id_from("000000000000zabc"));
}

TEST_CASE("journal rows survive a round trip")
{
    const auto formed = admit_job_definition(sample(), rule(), 1000);
    REQUIRE(formed);
    const auto read = decode_definition(encode_definition(formed.value()));
    REQUIRE(read);
    CHECK(read.value().id == sample().id);
    CHECK(read.value().spec == sample().spec);
    CHECK(read.value().steps[1].after == std::vector<std::uint32_t>{0});
    CHECK(read.value().steps[0].preferred_label.empty());
    CHECK(read.value().steps[1].preferred_label == "rack-3");
    CHECK(read.value().objective_ms == 1000 + 60 + 240);

    job_progress progress;
    progress.done = {0, 2};
    progress.failed = {{1, 4097}};
    const auto known = decode_progress(encode_progress(progress));
    REQUIRE(known);
    CHECK(known.value().done == progress.done);
    CHECK(known.value().failed == progress.failed);

    const auto end =
        decode_ended_job(encode_ended_job({job_state::cancelled, 77}));
    REQUIRE(end);
    CHECK(end.value().state == job_state::cancelled);
}

TEST_CASE("malformed journal rows are rejected")
{
    CHECK_FALSE(decode_definition("{"));
    CHECK_FALSE(decode_definition("[]"));
    CHECK_FALSE(decode_progress("[1]"));
    CHECK_FALSE(decode_ended_job("[99,1]"));
}

TEST_CASE("a malformed job is refused with the name of the field")
{
    auto circle = sample();
    circle.steps[0].after = {1};
    CHECK(admit_job_definition(circle, rule(), 0).error().text ==
          "steps[0].after names step 1, which is not earlier");
    auto empty = sample();
    empty.steps.clear();
    CHECK(admit_job_definition(empty, rule(), 0).error().text ==
          "steps is empty");
    auto none = sample();
    none.steps[1].count = 0;
    CHECK(admit_job_definition(none, rule(), 0).error().text ==
          "steps[1].count is not in 1..10000");
    auto large = sample();
    large.spec.assign(max_spec_bytes + 1, 'x');
    CHECK(admit_job_definition(large, rule(), 0).error().text ==
          "spec has more than 4000 bytes");
}

TEST_CASE("only an in-memory job expires, at the earlier of its two limits")
{
    auto job = sample();
    job.durability_class = durability::in_memory;
    job.expiry_ms = 5000;
    CHECK(admit_job_definition(job, rule(), 1000).value().expiry_ms ==
          1000 + 900);
    job.expiry_ms = 400;
    CHECK(admit_job_definition(job, rule(), 1000).value().expiry_ms == 1400);
    job.durability_class = durability::journalled;
    CHECK(admit_job_definition(job, rule(), 1000).value().expiry_ms == 0);
}

TEST_CASE("a queue is selected by the longest matching prefix of its host")
{
    queue_catalog catalog;
    auto one = rule();
    one.host = "a.example";
    one.prefix = "/x/";
    auto two = one;
    two.name = "queue-2";
    two.prefix = "/x/y/";
    catalog.add(one);
    catalog.add(two);
    REQUIRE(catalog.find("a.example", "/x/1"));
    CHECK(catalog.find("a.example", "/x/1")->name == "queue-1");
    CHECK(catalog.find("a.example:80", "/x/y/1")->name == "queue-2");
    CHECK(catalog.find("b.example", "/x/1") == nullptr);
    CHECK(catalog.find("a.example", "/z/") == nullptr);
}
