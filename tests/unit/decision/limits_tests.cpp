#include "glenhollow/decision/admission.hpp"
#include "glenhollow/decision/retry_budget.hpp"
#include "glenhollow/decision/team_quota.hpp"
#include "glenhollow/decision/token_bucket.hpp"

#include <catch2/catch.hpp>

using namespace glenhollow;

namespace
{

admission_request typical_request()
{
    admission_request request;
    request.tasks = 10;
    request.deadline = seconds{5};
    request.seconds_per_task = 0.1;
    request.available_slots = 10;
    request.usable_runners = 2;
    return request;
}

reason refusal_reason(const admission_request& request)
{
    random_engine random(1);
    return admit(request, {}, random).why;
}

} // namespace

TEST_CASE("admission refuses a job that cannot meet its deadline")
{
    auto request = typical_request();
    REQUIRE(refusal_reason(request) == reason::none);
    request.queued_seconds = 50;
    REQUIRE(refusal_reason(request) == reason::deadline_unreachable);
    request.deadline = seconds{6};
    REQUIRE(refusal_reason(request) == reason::none);
    request.seconds_per_task = 6;
    REQUIRE(refusal_reason(request) == reason::deadline_unreachable);
}

TEST_CASE("admission refuses a job at each limit of the shard")
{
    auto request = typical_request();
    request.queued_tasks = 50'000;
    REQUIRE(refusal_reason(request) == reason::queue_full);
    request = typical_request();
    request.jobs = 20'000;
    REQUIRE(refusal_reason(request) == reason::queue_full);
    request = typical_request();
    request.kept_bytes = 48UL << 20;
    REQUIRE(refusal_reason(request) == reason::kept_answers_full);
    request = typical_request();
    request.usable_runners = 0;
    REQUIRE(refusal_reason(request) == reason::no_runner);
}

TEST_CASE("Retry-After is jittered between one and two times the wait")
{
    random_engine random(3);
    duration shortest = seconds{100};
    duration longest{};
    for (int i = 0; i < 500; ++i)
    {
        const auto wait = jittered_retry_after(seconds{4}, {}, random);
        shortest = std::min(shortest, wait);
        longest = std::max(longest, wait);
    }
    REQUIRE(shortest >= seconds{4});
    REQUIRE(longest <= seconds{8});
    REQUIRE(longest - shortest > seconds{3});
}

TEST_CASE("a token bucket grants its burst at once and its rate over time")
{
    token_bucket bucket;
    instant now = seconds{100};
    bucket.configure(10, 5, now);
    int taken = 0;
    while (bucket.take(1, now))
        ++taken;
    REQUIRE(taken == 5);
    REQUIRE(bucket.wait_for(1) == milliseconds{100});
    for (int i = 0; i < 1000; ++i)
    {
        now += milliseconds{10};
        taken += bucket.take(1, now) ? 1 : 0;
    }
    REQUIRE(taken >= 104);
    REQUIRE(taken <= 105);
}

TEST_CASE("a full bucket grants more than its burst and goes negative")
{
    token_bucket bucket;
    bucket.configure(10, 5, seconds{1});
    REQUIRE(bucket.take(50, seconds{1}));
    REQUIRE_FALSE(bucket.take(1, seconds{5}));
    REQUIRE(bucket.take(1, seconds{7}));
}

TEST_CASE("retries stay within the budget if every attempt is refused")
{
    retry_settings settings;
    retry_budget budget(settings);
    std::size_t retries = 0;
    constexpr std::size_t admitted_tasks = 10'000;
    // Every attempt is refused, so each task retries until its attempts or the
    // budget are used up.
    for (std::size_t i = 0; i < admitted_tasks; ++i)
    {
        budget.deposit("t", 1);
        for (std::size_t attempt = 1; budget.try_withdraw("t", attempt);
             ++attempt)
            ++retries;
    }
    REQUIRE(static_cast<double>(retries) <=
            settings.share * admitted_tasks + settings.initial_budget);
    REQUIRE(retries > 900);
}

TEST_CASE("backoff stays below an exponential bound")
{
    const retry_budget budget{retry_settings{}};
    random_engine random(5);
    for (std::size_t attempt = 1; attempt < 12; ++attempt)
    {
        const auto bound = std::min<duration>(
            milliseconds{5} * (1 << (attempt - 1)), milliseconds{200});
        for (int i = 0; i < 50; ++i)
            REQUIRE(budget.backoff(attempt, random) <= bound);
    }
}

TEST_CASE("quota shares sum to one and follow demand")
{
    const std::vector<double> demand{100, 0, 20, 3};
    double sum = 0;
    for (std::size_t i = 0; i < demand.size(); ++i)
    {
        std::vector<double> others = demand;
        others.erase(others.begin() + static_cast<long>(i));
        sum += quota_share(demand[i], others, demand.size(), 5);
    }
    REQUIRE(sum == Approx(1.0));
    REQUIRE(quota_share(100, {0, 20, 3}, 4, 5) > 0.76);
    // An entry without demand still has a share.
    REQUIRE(quota_share(0, {100}, 2, 5) == Approx(5.0 / 105));
    // Entries without a report count with the floor.
    REQUIRE(quota_share(20, {}, 3, 5) == Approx(20.0 / 30));
    REQUIRE(demand_floor(90, 3) == Approx(15));
}

TEST_CASE("total grants stay between 90% and 105% of the quota while "
          "demand moves between entries")
{
    constexpr double quota = 1000;
    constexpr std::size_t entries = 3;
    std::vector<team_quota> quotas(entries, team_quota{{}});
    instant now = seconds{1000};
    for (auto& entry_quota : quotas)
        entry_quota.set_quota("t", quota);
    double granted = 0;
    constexpr int simulated_seconds = 40;
    constexpr int steps_per_second = 100;
    for (int step = 0; step < simulated_seconds * steps_per_second; ++step)
    {
        now += milliseconds{10};
        // The demand is twice the quota; most of it moves to another entry
        // every 10 s.
        const std::size_t busiest_entry =
            static_cast<std::size_t>(step / (10 * steps_per_second)) % entries;
        for (std::size_t i = 0; i < entries; ++i)
        {
            const int requests = i == busiest_entry ? 18 : 1;
            for (int request = 0; request < requests; ++request)
                granted += quotas[i].try_acquire("t", 1, now) ? 0 : 1;
        }
        // Entries exchange their demand every 500 ms.
        if (step % 50 != 0)
            continue;
        std::vector<double> demand;
        const double floor = demand_floor(quota, entries);
        for (const auto& entry_quota : quotas)
        {
            // Demand up to the floor is not reported.
            const double rate = entry_quota.demand(now).front().second;
            demand.push_back(rate > floor ? rate : 0);
        }
        for (std::size_t i = 0; i < entries; ++i)
        {
            std::vector<double> others = demand;
            others.erase(others.begin() + static_cast<long>(i));
            const double own = quotas[i].demand(now).front().second;
            quotas[i].set_share("t", quota_share(own, others, entries, floor));
        }
    }
    const double per_second = granted / simulated_seconds;
    INFO(per_second);
    REQUIRE(per_second < quota * 1.05);
    REQUIRE(per_second > quota * 0.9);
}
