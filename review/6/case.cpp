// Kept jobs whose submissions wait at a frozen entry are cancelled elsewhere;
// the entry wakes and submits them all the same.
#include "../common-2/harness.hpp"

#include <atomic>

using namespace review;

namespace
{

constexpr double cancel_ms = 3000;   // bounds.cancel_ms
constexpr double frozen_ms = 4000;   // node_freeze, count 1, for_s 4.0
constexpr double patience_ms = 1500; // deadline of all kinds of requests
constexpr unsigned clients = 6;

std::string id_of(unsigned number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", 0x0dead000U + number,
                  number * 2654435761U);
    return text;
}

/// @return A kept job of three steps, one after the other.
std::string job()
{
    json::array list;
    for (int i = 0; i < 3; ++i)
    {
        auto one = step(1, 500, 2500);
        if (i > 0)
            one["after"] = json::array{i - 1};
        list.push_back(one);
    }
    return json::serialize(
        json::object{{"spec", "work_ms=2500"}, {"steps", list}});
}

int play(record& out)
{
    deployment_settings settings;
    settings.routes = {route("quotes")};
    deployment system(settings);
    system.start();
    sleep_ms(6000);

    const double begin = now_ms();
    if (with_trouble())
    {
        system.at("entry0").signal(SIGSTOP);
        out.line("entry0 is frozen");
    }
    sleep_ms(200);
    std::mutex mutex;
    std::map<std::string, double> cancelled;
    std::vector<std::thread> running;
    for (unsigned client = 1; client <= clients; ++client)
    {
        running.emplace_back(
            [&, id = id_of(client)]
            {
                const auto path = "/quotes/" + id;
                out.line("POST " + path + " to entry0");
                const auto posted = call(system.callers(0), "POST", path,
                                         deployment::host, job(), patience_ms);
                out.line("POST " + path + ": " +
                         (posted.status == 0
                              ? std::string("no answer, the client leaves")
                              : std::to_string(posted.status)));
                // Until it is acknowledged.
                for (int i = 0; i < 3; ++i)
                {
                    out.line("DELETE " + path + " to entry1");
                    const auto got = call(system.callers(1), "DELETE", path,
                                          deployment::host, "", 4000);
                    out.line("DELETE " + path + ": " +
                             std::to_string(got.status) + " " + got.body);
                    if (got.status / 100 != 2 && got.status != 410)
                        continue;
                    const std::lock_guard lock(mutex);
                    cancelled[id] = got.at;
                    return;
                }
            });
    }
    sleep_ms(begin + frozen_ms - now_ms());
    if (with_trouble())
    {
        system.at("entry0").signal(SIGCONT);
        out.line("entry0 runs again");
    }
    for (auto& client : running)
        client.join();
    if (cancelled.empty())
        return could_not_run;
    sleep_ms(12000);

    for (const auto& [id, at] : cancelled)
    {
        const auto got = call(system.callers(1), "GET", "/quotes/" + id,
                              deployment::host, "", 4000);
        out.line("GET /quotes/" + id + ": " + std::to_string(got.status) + " " +
                 got.body);
    }
    bool late = false;
    for (const auto& run : system.runs())
    {
        const auto known = cancelled.find(run.task.substr(0, 16));
        const bool is_late =
            known != cancelled.end() && run.begin > known->second + cancel_ms;
        late = late || is_late;
        out.line("run " + run.task + " number " + std::to_string(run.run) +
                 " at " + run.server + " from " + out.at(run.begin) + " to " +
                 (run.end == 0 ? "now" : out.at(run.end)) + ": " + run.how +
                 (is_late ? "  STARTED " +
                                std::to_string(static_cast<int>(
                                    run.begin - known->second)) +
                                " ms after the acknowledgement"
                          : ""));
    }
    return late ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(play, argc > 1 ? argv[1] : ".");
}
