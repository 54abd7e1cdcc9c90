// Case 9: a zone is partitioned from the others and from the store for 5 s;
// connections across the border are refused. Its entry takes the refusals for
// the end of the other entries, goes on as the owner of its part, and its
// agents go on with its tasks, while another entry starts the same tasks.
#include "../common-3/world.hpp"

using namespace world;

int main(int argc, char** argv)
{
    begin_case(argc, argv);
    options wanted;
    wanted.zone_agents = 4;
    deployment all(wanted);
    all.start();
    clients callers(all);

    // 10 jobs a second of two tasks of half a core for 1.5 s.
    const auto begin = seconds_now();
    for (int i = 0; i < 80; ++i)
    {
        sleep_until_s(begin + i / 10.0);
        callers.submit("plain", {{2, 500, 0, 1500, {}, {}, {}}},
                       "work_ms=1500");
        if (i == 30 && trouble())
            all.refuse_zone(true);
    }
    sleep_until_s(begin + 8);
    if (trouble())
        all.refuse_zone(false);
    callers.wait();
    sleep_until_s(begin + 8 + finish_s);
    const int broken = check_twice(all);
    record_runs(all);
    finish(broken > 0 ? 1 : 0);
}
