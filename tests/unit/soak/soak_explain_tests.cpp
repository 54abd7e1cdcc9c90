#include "soak/soak_explain.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace glenhollow;
using namespace glenhollow::soak;

namespace
{

const std::string task = "00000000000000a1.0.0.0";

/// A folder of a soak of its own.
struct soak_folder
{
    soak_folder()
        : path(std::filesystem::temp_directory_path() /
               ("soak_explain" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(path);
    }
    ~soak_folder() { std::filesystem::remove_all(path); }

    void write(const std::string& name, const std::string& text) const
    {
        std::ofstream(path / name) << text;
    }

    std::filesystem::path path; ///< Of the folder.
};

seen_run run(std::uint64_t number, const std::string& backend, int begin)
{
    seen_run out;
    out.task = task;
    out.run = number;
    out.backend = backend;
    out.begin = milliseconds{begin};
    out.end = milliseconds{begin + 100};
    out.how = "done";
    out.noted = milliseconds{begin + 900};
    return out;
}

} // namespace

TEST_CASE("soak explain: runs, faults and lines of logs in one order")
{
    const soak_folder folder;
    folder.write("runs", run_line(run(1, "backend3", 20000)) + "\n" +
                             run_line(run(2, "backend5", 20500)) + "\n" +
                             "00000000000000b2.0.0.0 1 backend1 20000 0 0 -\n");
    // The soak's clock showed 10,000 ms at 00:00:10 of that day.
    folder.write("soak.log", "10000 ms, 0.0 s: wall clock 1767225610000\n"
                             "11000 ms, 1.0 s: fault entry_kill 0\n"
                             "19000 ms, 9.0 s: fault hall_cut 0\n"
                             "20200 ms, 9.2 s: job 00000000000000b2 refused\n");
    folder.write("entry0.log",
                 R"({"time":"2026-01-01T00:00:19Z","event":"part_owned"})"
                 "\n"
                 R"({"time":"2026-01-01T00:00:20Z","event":"placement_load"})"
                 "\n"
                 R"({"time":"2026-01-01T00:00:20Z","event":"agent_given_up",)"
                 R"("agent":"agent4"})"
                 "\nnot a line\n");
    folder.write("agent5.log", R"({"time":"2026-01-01T00:00:21Z",)"
                               R"("event":"part_adopted","epoch":"2"})"
                               "\n"
                               R"({"time":"2026-01-01T00:00:21.250Z",)"
                               R"("event":"run_missing"})"
                               "\n");
    folder.write("agent4.log",
                 R"({"time":"2026-01-01T00:00:20Z","event":"agent_started"})"
                 "\n");
    CHECK(
        explain_task(folder.path, task) ==
        std::vector<std::string>{
            " 19000 soak: fault hall_cut 0", "~19000 entry0: part_owned",
            " 20000 backend3: run 1 begins", " 20100 backend3: run 1 ends done",
            " 20500 backend5: run 2 begins", " 20600 backend5: run 2 ends done",
            " 20900 backend3: run 1 end taken note of",
            "~21000 agent5: part_adopted epoch=2", "~21250 agent5: run_missing",
            " 21400 backend5: run 2 end taken note of"});
}

TEST_CASE("soak explain: nothing where the task or the folder is not known")
{
    const soak_folder folder;
    CHECK(explain_task(folder.path, task).empty());
    CHECK(explain_task("/no/such/folder", task).empty());
}
