#ifndef GLENHOLLOW_TESTS_SOAK_SOAK_DEPLOYMENT_HPP
#define GLENHOLLOW_TESTS_SOAK_SOAK_DEPLOYMENT_HPP

#include "glenhollow/core/random.hpp"
#include "soak/child_process.hpp"
#include "soak/fault_plan.hpp"
#include "soak/log_watch.hpp"
#include "soak/peer_links.hpp"
#include "soak/soak_checker.hpp"
#include "soak/soak_clients.hpp"
#include "soak/standin_knobs.hpp"
#include "soak/touch_log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace glenhollow::soak
{

/// What a deployment consists of.
struct deployment_settings
{
    std::string programs;          ///< Folder of the programs.
    std::string folder;            ///< For logs.
    std::uint64_t seed = 1;        ///< Of the stand-ins' faults.
    std::uint32_t entries = 3;     ///< Processes.
    std::uint32_t agents = 4;      ///< Each with a backend server.
    std::uint32_t halls = 1;       ///< Over which processes are spread.
    std::uint32_t cpu = 4000;      ///< Of a backend server.
    double cpu_share = 1.0;        ///< Of a core, which an entry may use: weak
                                   ///< entries hand whole jobs to hosts.
    std::uint32_t host_agents = 7; ///< Of one host, about.
    std::uint32_t sampled_groups = 32; ///< To which an entry hands jobs.
    std::uint32_t group_entries = 6;   ///< That use a group, at least.
    duration grace = seconds{6};       ///< Of planned stops.
    double twice = 0; ///< See standin-backend; a planted fault.
};

/// The store, entries, agents and backend servers as processes, each machine
/// on a loopback address of its own, and the faults that they suffer.
class soak_deployment final
{
public:
    using teller = soak_clients::teller;

    /// @param io Runs the timers.
    /// @param settings Sizes and places.
    /// @param checker Is told of processes that end wrongly; outlives it.
    /// @param tell Gets one line a fault.
    soak_deployment(boost::asio::io_context& io,
                    const deployment_settings& settings, soak_checker& checker,
                    teller tell);

    /// Starts everything.
    void begin();

    /// @return Where the entries are called.
    const std::vector<entry_address>& entries() const { return addresses_; }

    /// Lets a fault begin now, and end in time.
    /// @param fault The fault.
    void apply(const planned_fault& fault);

    /// @return How many faults struck, by kind.
    const std::map<fault_kind, std::uint64_t>& struck() const
    {
        return struck_;
    }

    /// @return Whether all processes are up and no fault goes on; one may still
    /// wait for its line.
    bool quiet() const;

    /// @return Whether it is quiet and no fault waits for its line.
    bool calm() const { return quiet() && watch_.calm(); }

    /// Asks all backend servers for what ran there.
    /// @param done Gets the runs; missing records are told to the checker.
    void records(std::function<void(std::vector<seen_run>)> done);

    /// Stops entries, then agents, as planned.
    /// @param done Called when all have ended.
    void stop(std::function<void()> done);

    /// Looks for words in the logs that no process may leave there.
    void check_logs();

private:
    /// Where a process stands.
    enum class phase : std::uint8_t
    {
        up,
        paused,
        down,
        stopping
    };

    /// A process and its fault.
    struct managed
    {
        std::string name;                     ///< For people.
        std::unique_ptr<child_process> child; ///< The process.
        phase now = phase::down;              ///< Where it stands.
        instant started{};                    ///< When it was, last.
        instant stop_by{};                    ///< Of a planned stop.
        duration away{};                      ///< After it, until a start.
        bool for_good = false;                ///< Never started again.
        std::vector<instant> disturbed;       ///< When it was.
    };

    /// A stand-in's faults that go on.
    struct knobs
    {
        std::unique_ptr<http_client> control; ///< One call at a time.
        std::list<planned_fault> active;      ///< Now.
    };

    void choose_addresses();
    bool is_new(const host_port& where);
    std::uint16_t new_port(const std::string& host);
    std::string address(std::uint32_t number) const;
    void add(std::vector<managed>& to, const std::string& name,
             const std::string& program, std::vector<std::string> flags);
    void add_entry(std::uint32_t i);
    void add_agent(std::uint32_t i);
    std::string link(const std::string& host, const host_port& server);
    void add_peers();
    std::string hall(std::uint32_t i) const;
    void strike(const planned_fault& fault);
    void strike_process(managed& one, const planned_fault& fault);
    std::string log_of(const planned_fault& fault) const;
    void note_touch(const planned_fault& fault);
    faulty_link& store_link(std::uint32_t process);
    void stall(const planned_fault& fault);
    void stall_again(managed& one, instant until);
    duration drawn_time(duration least, duration most);
    void write_configuration(std::function<void()> done);
    void await_backend(std::size_t i);
    void start(managed& one);
    void watch();
    void watch_one(managed& one);
    managed& backend(std::uint32_t i);
    void kill(managed& one, const planned_fault& fault);
    void pause(managed& one, duration lasts);
    void stop_one(managed& one, duration away);
    void turn(knobs& at, const planned_fault& fault);
    boost::json::object knobs_for(const knobs& at) const;
    static bool in_touch(const managed& one, instant at);
    void send_knobs(knobs& at, bool crash, bool forget);

    boost::asio::io_context& io_;          ///< Runs the timers.
    deployment_settings settings_;         ///< Sizes and places.
    soak_checker& checker_;                ///< Is told.
    teller tell_;                          ///< The log.
    std::string network_;                  ///< Begin of all addresses.
    std::vector<std::uint16_t> rpc_ports_; ///< Of entries, then agents; nobody
                                           ///< else listens there.
    std::vector<std::uint16_t> views_;     ///< Of the store, by entry.
    std::set<std::string> taken_;          ///< Addresses that are given out.
    host_port store_address_;              ///< The store.
    std::vector<entry_address> addresses_; ///< Of the entries.
    std::vector<managed> standins_;        ///< Store and backend servers.
    std::vector<managed> entries_;         ///< Entries.
    std::vector<managed> agents_;          ///< Agents.
    knobs store_;                          ///< Of the store.
    std::vector<knobs> backends_;          ///< Of the backend servers.
    std::vector<std::unique_ptr<faulty_link>> links_; ///< See plan_settings.
    std::unique_ptr<peer_links> peers_;               ///< Between processes.
    touch_log touch_;      ///< Who was disturbed when.
    log_watch watch_;      ///< Lines that faults wait for.
    random_engine random_; ///< Of stops in series.
    std::size_t due_ = 0;  ///< Parts of faults that are to come.
    std::map<fault_kind, std::uint64_t> struck_; ///< Faults so far.
};

} // namespace glenhollow::soak

#endif
