// glenhollow-soak: the real programs on one machine under faults of a seed.
#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/core/run_after.hpp"
#include "soak/fault_plan.hpp"
#include "soak/soak_clients.hpp"
#include "soak/soak_deployment.hpp"

#include <boost/log/core.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
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

/// What the flags say.
struct soak_settings
{
    std::uint64_t seed = 1;          ///< Decides jobs and faults.
    unsigned length_s = 30;          ///< Of the traffic.
    unsigned apart_ms = 1000;        ///< Between two faults, on average.
    std::string programs = ".";      ///< Folder of the programs.
    std::string folder = "soak";     ///< For logs.
    unsigned between_ms = 40;        ///< Between two jobs.
    unsigned least_work_ms = 20;     ///< Of a task.
    unsigned most_work_ms = 300;     ///< Of a task.
    double kept = 0.5;               ///< Share of kept jobs.
    double twice = 0;                ///< A planted fault.
    std::string plan_file;           ///< Empty: the seed makes the plan.
    std::vector<planned_fault> plan; ///< The faults.
};

/// @return The faults of the file, or else of the seed.
result<std::vector<planned_fault>> plan_of(const soak_settings& settings)
{
    plan_settings plan;
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
        return out;
    }

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
        clients_.begin();
        std::ofstream(settings_.folder + "/plan") << to_text(settings_.plan);
        for (const auto& fault : settings_.plan)
            run_after(io_, fault.at,
                      [this, fault] { deployment_.apply(fault); });
        run_after(io_, seconds{settings_.length_s}, [this] { await_calm(); });
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

    void tell_verdict(const std::vector<seen_run>& runs)
    {
        const auto found = checker_.judge(runs);
        for (const auto& one : found)
        {
            std::cout << one.rule << ": " << one.text << "\n";
            teller()("FOUND " + one.rule + ": " + one.text);
        }
        const auto& counts = clients_.counts();
        std::cout << "seed " << settings_.seed << ": "
                  << (found.empty() ? "kept" : "BROKEN") << "; jobs "
                  << counts.sent << ", attempts " << counts.attempts
                  << " (no answer " << counts.no_answer << "), succeeded "
                  << counts.succeeded << ", refused " << counts.refused
                  << ", failed " << counts.failed << ", runs " << runs.size()
                  << "\n";
        status_ = found.empty() ? 0 : 1;
    }

    soak_settings settings_;                   ///< Checked.
    std::ofstream log_;                        ///< What happened.
    boost::asio::io_context io_;               ///< Runs everything.
    soak_checker checker_{checker_settings{}}; ///< The promises.
    soak_deployment deployment_;               ///< The processes.
    soak_clients clients_;                     ///< The traffic.
    instant begun_;                            ///< Of the soak.
    instant calm_{};                           ///< After the last fault.
    instant last_job_{}; ///< When no new job came any more.
    int status_ = 2;     ///< Of this process.
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
    parse_or_exit(line, argc, argv);
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
        if (old.path().extension() == ".log")
            std::filesystem::remove(old.path(), ec);
    }
    soak_session session(settings);
    return session.run();
}
