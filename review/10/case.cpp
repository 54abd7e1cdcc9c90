// Case 10: three runners, one after the other, are cut off from the entries for
// 0.8 s, crash behind the cut and start again as smaller ones. An order on its
// way through the cut reaches the agent afterwards, does not fit, and is never
// given back.
#include "../common-3/world.hpp"

using namespace world;

int main(int argc, char** argv)
{
    begin_case(argc, argv);
    const auto rack = [](int i) { return "r1-" + std::to_string(i / 3); };
    options wanted;
    wanted.kind = [rack](int i)
    {
        runner_kind kind;
        kind.labels = {"a", rack(i)};
        return kind;
    };
    wanted.linked_agents = {1, 4, 7};
    deployment all(wanted);
    all.start();
    clients callers(all);

    // 50 jobs a second of one task, which takes 1.5 of the 4 cores of a runner
    // for 0.2 s, with data in one of the racks.
    const auto begin = seconds_now();
    for (int i = 0; i < 500; ++i)
    {
        sleep_until_s(begin + i / 50.0);
        callers.submit("plain", {{1, 1500, 0, 200, {}, {}, rack(i % 11)}},
                       "work_ms=200");
        if (!trouble())
            continue;
        for (std::size_t k = 0; k < wanted.linked_agents.size(); ++k)
        {
            const int agent = wanted.linked_agents[k];
            const int since = i - 100 - 100 * static_cast<int>(k);
            if (since == 0)
                all.cut(agent, true);
            if (since == 5)
                all.runner_at(agent).crash();
            if (since == 15)
                all.runner_at(agent).start(
                    runner_kind{1000, 16384, 0, {"b", rack(agent)}});
            if (since == 40)
                all.cut(agent, false);
        }
    }
    callers.wait();
    const int lost = check_lost(all, callers, "plain");
    record_runs(all);
    finish(lost > 0 ? 1 : 0);
}
