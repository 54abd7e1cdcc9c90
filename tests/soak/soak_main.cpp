// glenhollow-soak: the real programs on one machine under faults of a seed.
#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/run_after.hpp"
#include "soak/fault_plan.hpp"
#include "soak/soak_clients.hpp"
#include "soak/soak_deployment.hpp"
#include "soak/soak_explain.hpp"

#include <boost/log/core.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <sstream>

using namespace glenhollow;
using namespace glenhollow::soak;

namespace
{

/// From the moment at which all is up and well again to a job sent since then
/// that succeeds.
constexpr duration serve_bound = seconds{30};
/// From the last new job to the end of all jobs.
constexpr duration end_bound = seconds{60};
/// To the first entry that calls itself ready.
constexpr duration begin_bound = seconds{60};
/// From the end of the traffic's time to the end of all faults.
constexpr duration calm_bound = seconds{120};
/// Without faults at the end of the plan.
constexpr duration quiet_tail = seconds{5};
/// From the end of all jobs to the verdict, for what starts too late.
constexpr duration after_all = seconds{1};
constexpr duration look_interval = milliseconds{50};
/// Tasks of findings whose stories are written down.
constexpr std::size_t most_explained = 10;

/// From the end of the last fault until no answer may be held any more: longer
/// than any lease and than the wait of a call that was lost.
constexpr duration well_after = seconds{4};
/// Where all is well for so long, the traffic ends though nothing recovers.
constexpr duration recover_bound = seconds{30};
/// Traffic after the calm, where recovery is measured.
constexpr duration least_tail = seconds{8};

/// Which kinds of faults seeds draw, and with them which jobs.
enum class soak_faults : std::uint8_t
{
    first, ///< Those of the first shape, by which seeds mean what they did.
    all    ///< All; jobs of three kinds, cancels and callers that leave.
};

/// What the flags say.
struct soak_settings
{
    std::uint64_t seed = 1;            ///< Decides jobs and faults.
    unsigned length_s = 30;            ///< Of the traffic.
    unsigned apart_ms = 1000;          ///< Between two faults, on average.
    std::string programs = ".";        ///< Folder of the programs.
    std::string folder = "soak";       ///< For logs.
    unsigned least_work_ms = 20;       ///< Of a task.
    unsigned most_work_ms = 300;       ///< Of a task.
    double kept = 0.5;                 ///< Share of kept jobs.
    double twice = 0;                  ///< A planted fault.
    std::string explain;               ///< A task; nothing is played.
    std::string shape = "first";       ///< Name, for the verdict.
    plan_settings sizes;               ///< Entries, agents, halls.
    std::uint32_t cpu = 4000;          ///< Of a backend server.
    double cpu_share = 1.0;            ///< Of an entry.
    std::uint32_t host_agents = 7;     ///< Of one host.
    std::uint32_t sampled_groups = 32; ///< Of hosts, at an entry.
    std::uint32_t group_entries = 6;   ///< That use a group, at least.
    unsigned between_ms = 40;          ///< Jobs.
    double leave = 0;                  ///< See client_settings.
    double cancel = 0;                 ///< See client_settings.
    soak_faults faults = soak_faults::first; ///< Which kinds are drawn.
    std::string plan_file;           ///< Empty: the seed makes the plan.
    std::vector<planned_fault> plan; ///< The faults.
};

/// @return The faults of the file, or else of the seed.
result<std::vector<planned_fault>> plan_of(const soak_settings& settings)
{
    auto plan = settings.sizes;
    plan.wide = settings.faults == soak_faults::all;
    plan.seed = settings.seed;
    plan.length = seconds{settings.length_s} - quiet_tail;
    plan.apart = milliseconds{settings.apart_ms};
    if (settings.plan_file.empty())
        return plan_faults(plan);
    const std::ifstream file(settings.plan_file);
    if (!file)
        return failure{"cannot read " + settings.plan_file};
    std::ostringstream text;
    text << file.rdbuf();
    return plan_from(text.str(), plan);
}

} // namespace

/// Names for the flag.
template <>
struct glenhollow::name_table<soak_faults>
{
    static constexpr std::array<std::string_view, 2> names{"first", "all"};
};

namespace
{

/// The whole soak.
class soak_session final
{
public:
    explicit soak_session(const soak_settings& settings)
        : settings_(settings), log_(settings.folder + "/soak.log"),
          deployment_(io_, sizes(), checker_, teller()),
          clients_(io_, manner(), deployment_.entries(), checker_, teller()),
          begun_(process_clock().now())
    {
    }

    /// @return The exit status.
    int run()
    {
        constexpr std::int64_t nanoseconds_a_ms = 1'000'000;
        teller()(std::string(wall_words) +
                 std::to_string(wall_nanoseconds() / nanoseconds_a_ms));
        deployment_.begin();
        clients_.begin_balancer();
        await_ready();
        io_.run();
        return status_;
    }

private:
    deployment_settings sizes() const
    {
        deployment_settings out;
        out.programs = settings_.programs;
        out.folder = settings_.folder;
        out.seed = settings_.seed;
        out.twice = settings_.twice;
        out.entries = settings_.sizes.entries;
        out.agents = settings_.sizes.agents;
        out.halls = settings_.sizes.halls;
        out.cpu = settings_.cpu;
        out.cpu_share = settings_.cpu_share;
        out.host_agents = settings_.host_agents;
        out.sampled_groups = settings_.sampled_groups;
        out.group_entries = settings_.group_entries;
        return out;
    }

    checker_settings promises() const
    {
        checker_settings out;
        out.backend_cpu = settings_.cpu;
        return out;
    }

    client_settings manner() const
    {
        client_settings out;
        out.seed = settings_.seed;
        out.between = milliseconds{settings_.between_ms};
        out.least_work_ms = settings_.least_work_ms;
        out.most_work_ms = settings_.most_work_ms;
        out.kept = settings_.kept;
        out.mixed = is_wide();
        out.leave = settings_.leave;
        out.cancel = settings_.cancel;
        return out;
    }

    bool is_wide() const { return settings_.faults == soak_faults::all; }

    soak_clients::teller teller()
    {
        return [this](const std::string& line)
        {
            const auto now = process_clock().now();
            log_ << std::chrono::duration_cast<milliseconds>(now).count()
                 << " ms, " << seconds_in(now) << " s: " << line << std::endl;
        };
    }

    double seconds_in(instant now) const
    {
        return std::chrono::duration<double>(now - begun_).count();
    }

    void await_ready()
    {
        if (clients_.any_ready())
            return begin();
        if (process_clock().now() > begun_ + begin_bound)
        {
            checker_.broken("BEGIN", "no entry became ready");
            return finish();
        }
        run_after(io_, look_interval, [this] { await_ready(); });
    }

    void begin()
    {
        teller()("ready");
        unrest_ = process_clock().now();
        note_unrest();
        clients_.begin();
        std::ofstream(settings_.folder + "/plan") << to_text(settings_.plan);
        for (const auto& fault : settings_.plan)
            run_after(io_, fault.at,
                      [this, fault] { deployment_.apply(fault); });
        run_after(io_, seconds{settings_.length_s}, [this] { await_calm(); });
    }

    /// Remembers when the last fault ended.
    void note_unrest()
    {
        if (!deployment_.quiet())
            unrest_ = process_clock().now();
        run_after(io_, look_interval, [this] { note_unrest(); });
    }

    void await_calm()
    {
        const auto now = process_clock().now();
        const bool late =
            now > begun_ + seconds{settings_.length_s} + calm_bound;
        if (!deployment_.calm() && !late)
            return run_after(io_, look_interval, [this] { await_calm(); });
        if (!deployment_.calm())
            checker_.broken("SOAK", "the faults do not end");
        calm_ = process_clock().now();
        teller()("calm");
        clients_.all_well(calm_ + well_after);
        await_service();
    }

    void await_service()
    {
        const auto now = process_clock().now();
        const bool served = clients_.served_since(calm_);
        if (!served && now < calm_ + serve_bound)
            return run_after(io_, look_interval, [this] { await_service(); });
        if (!served)
            checker_.broken("RECOVER", "no job is served any more");
        teller()("serves again");
        await_recovery();
    }

    /// The first shape's traffic ends with the first job that is served.
    void await_recovery()
    {
        const auto now = process_clock().now();
        recovered_ = clients_.recovered(unrest_);
        const bool over = (recovered_ && now > calm_ + least_tail) ||
                          now > calm_ + recover_bound;
        if (is_wide() && !over)
            return run_after(io_, look_interval, [this] { await_recovery(); });
        clients_.stop_new();
        last_job_ = now;
        await_ends();
    }

    void await_ends()
    {
        const auto now = process_clock().now();
        if (clients_.open() > 0 && now < last_job_ + end_bound)
            return run_after(io_, look_interval, [this] { await_ends(); });
        for (const auto& job : clients_.open_jobs())
            checker_.broken("LOST", "never ended: " + job);
        run_after(io_, after_all, [this] { finish(); });
    }

    void finish()
    {
        deployment_.records(
            [this](std::vector<seen_run> runs)
            {
                deployment_.stop(
                    [this, runs = std::move(runs)]
                    {
                        deployment_.check_logs();
                        tell_verdict(runs);
                        io_.stop();
                    });
            });
    }

    std::string faults_told() const
    {
        std::string out;
        for (const auto& [kind, count] : deployment_.struck())
            out += (out.empty() ? "" : ", ") + std::string(to_name(kind)) +
                   " " + std::to_string(count);
        return out;
    }

    static std::string rules_told(const std::vector<finding>& found)
    {
        std::map<std::string, std::size_t> rules;
        for (const auto& one : found)
            ++rules[one.rule];
        std::string out;
        for (const auto& [rule, count] : rules)
            out += " " + rule + " " + std::to_string(count);
        return out;
    }

    /// For each task that a finding names, its story beside the logs.
    void explain(const std::vector<seen_run>& runs,
                 const std::vector<finding>& found) const
    {
        std::ofstream all(settings_.folder + "/" + std::string(runs_file));
        for (const auto& run : runs)
            all << run_line(run) << "\n";
        all.close();
        std::set<std::string> told;
        for (const auto& one : found)
        {
            const auto task = one.text.substr(0, one.text.find(' '));
            if (told.size() >= most_explained || !told.insert(task).second)
                continue;
            const auto lines = explain_task(settings_.folder, task);
            if (lines.empty())
                continue;
            const auto place = settings_.folder + "/explained-" + task;
            std::ofstream file(place);
            for (const auto& line : lines)
                file << line << "\n";
            std::cout << "explained: " << place << "\n";
        }
    }

    void tell_verdict(const std::vector<seen_run>& runs)
    {
        if (is_wide())
            checker_.calm_answers(clients_.counts().calm_calls,
                                  clients_.counts().calm_held);
        const auto found = checker_.judge(runs);
        for (const auto& one : found)
        {
            std::cout << one.rule << ": " << one.text << "\n";
            teller()("FOUND " + one.rule + ": " + one.text);
        }
        explain(runs, found);
        const auto& counts = clients_.counts();
        const auto recovered =
            recovered_
                ? std::to_string(
                      std::chrono::duration_cast<milliseconds>(*recovered_)
                          .count()) +
                      " ms"
                : std::string("not measured");
        std::cout << "faults: " << faults_told() << "\n";
        std::cout << "shape " << settings_.shape << ", seed " << settings_.seed
                  << ": " << (found.empty() ? "kept" : "BROKEN")
                  << rules_told(found) << "; recovered after " << recovered
                  << "; calls left " << counts.left << ", cancels "
                  << counts.cancels << ", held " << counts.calm_held << " of "
                  << counts.calm_calls << "; jobs " << counts.sent
                  << ", attempts " << counts.attempts << " (no answer "
                  << counts.no_answer << "), succeeded " << counts.succeeded
                  << ", refused " << counts.refused << ", failed "
                  << counts.failed << ", runs " << runs.size() << "\n";
        status_ = found.empty() ? 0 : 1;
    }

    soak_settings settings_;            ///< Checked.
    std::ofstream log_;                 ///< What happened.
    boost::asio::io_context io_;        ///< Runs everything.
    soak_checker checker_{promises()};  ///< The promises.
    soak_deployment deployment_;        ///< The processes.
    soak_clients clients_;              ///< The traffic.
    instant begun_;                     ///< Of the soak.
    instant calm_{};                    ///< After the last fault.
    instant unrest_{};                  ///< Last time of a fault.
    std::optional<duration> recovered_; ///< After that.
    instant last_job_{};                ///< When no new job came any more.
    int status_ = 2;                    ///< Of this process.
};

} // namespace

int main(int argc, char** argv)
{
    soak_settings settings;
    command_line line("glenhollow-soak",
                      "plays the programs under the faults of a seed");
    line.number<std::uint64_t>("seed", settings.seed, 0, 1ULL << 40, "",
                               "decides jobs and faults");
    line.number<unsigned>("seconds", settings.length_s, 10, 86'400, "s",
                          "of traffic");
    line.number<unsigned>("apart", settings.apart_ms, 10, 60'000, "ms",
                          "between two faults, on average");
    line.text("programs", settings.programs, "folder of the programs");
    line.text("folder", settings.folder, "for logs, begun anew");
    line.text("plan", settings.plan_file,
              "file with the faults, in place of those of the seed");
    line.number<unsigned>("between", settings.between_ms, 1, 60'000, "ms",
                          "between two jobs");
    line.number<unsigned>("least-work", settings.least_work_ms, 1, 60'000, "ms",
                          "of a task");
    line.number<unsigned>("most-work", settings.most_work_ms, 2, 60'000, "ms",
                          "of a task");
    line.number<double>("kept", settings.kept, 0, 1, "",
                        "share of jobs that are kept in the store");
    line.number<double>("twice", settings.twice, 0, 1, "",
                        "planted fault: share of runs that a backend server "
                        "begins once more after their end");
    line.text("explain", settings.explain,
              "task of a soak that is over: tells its story, plays nothing");
    line.node_file();
    line.text("shape", settings.shape, "name of the shape, for the verdict");
    line.number<std::uint32_t>("entries", settings.sizes.entries, 1, 50, "",
                               "processes");
    line.number<std::uint32_t>("agents", settings.sizes.agents, 1, 120, "",
                               "processes, each with a backend server");
    line.number<std::uint32_t>("halls", settings.sizes.halls, 1, 16, "",
                               "over which processes are spread");
    line.number<std::uint32_t>("cpu", settings.cpu, 1, 1'000'000, "millicores",
                               "of a backend server");
    line.number<double>("cpu-share", settings.cpu_share, 0.01, 1024, "cores",
                        "that an entry may use; weak ones hand jobs to hosts");
    line.number<std::uint32_t>("host-agents", settings.host_agents, 1, 10'000,
                               "", "agents of one host, about");
    line.number<std::uint32_t>("sampled-groups", settings.sampled_groups, 1,
                               10'000, "",
                               "groups that an entry hands jobs to");
    line.number<std::uint32_t>("group-entries", settings.group_entries, 1,
                               10'000, "",
                               "entries that hand jobs to a group, at least");
    line.number<double>("leave", settings.leave, 0, 1, "",
                        "share of calls whose callers leave unanswered");
    line.number<double>("cancel", settings.cancel, 0, 1, "",
                        "share of jobs that are cancelled");
    line.choice("faults", settings.faults,
                "which kinds seeds draw; with all of them, jobs are of three "
                "kinds");
    parse_or_exit(line, argc, argv);
    if (!settings.explain.empty())
    {
        for (const auto& one : explain_task(settings.folder, settings.explain))
            std::cout << one << "\n";
        return 0;
    }
    if (settings.most_work_ms <= settings.least_work_ms)
    {
        std::cerr << "most-work must be above least-work\n";
        return exit_usage;
    }
    auto plan = plan_of(settings);
    if (!plan)
    {
        std::cerr << plan.error().text << "\n";
        return exit_usage;
    }
    settings.plan = std::move(plan.value());
    boost::log::core::get()->set_logging_enabled(false);
    std::error_code ec;
    std::filesystem::create_directories(settings.folder, ec);
    for (const auto& old :
         std::filesystem::directory_iterator(settings.folder, ec))
    {
        if (old.path().extension() == ".log" ||
            old.path().filename().string().starts_with("explained-"))
            std::filesystem::remove(old.path(), ec);
    }
    soak_session session(settings);
    return session.run();
}
