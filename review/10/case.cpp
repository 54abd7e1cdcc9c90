// Case 10: the only runner with a GPU is lost for good while a job that needs
// it is under way. Jobs that need no GPU are accepted and never run.
#include "../common-3/world.hpp"

using namespace world;

int main(int argc, char** argv)
{
    begin_case(argc, argv);
    options wanted;
    const int last = wanted.agents - 1;
    wanted.kind = [last](int i)
    {
        runner_kind kind;
        kind.gpu = i == last ? 1 : 0;
        return kind;
    };
    deployment all(wanted);
    all.start();
    clients callers(all);

    // A plain job each 100 ms, and one with GPU tasks each second.
    const auto begin = seconds_now();
    for (int i = 0; i < 200; ++i)
    {
        sleep_until_s(begin + 0.1 * i);
        callers.submit("plain", {{2, 1000, 0, 200, {}, {}, {}}},
                       "work_ms=200;plain");
        if (i % 10 == 0 && i < 80)
            callers.submit("gpu", {{4, 200, 1, 250, {}, {}, {}}},
                           "work_ms=250;gpu");
        if (i == 73 && trouble())
            all.runner_at(last).crash();
    }
    callers.wait();
    const int lost = check_lost(all, callers, "plain");
    record_runs(all);
    finish(lost > 0 ? 1 : 0);
}
