#ifndef GLENHOLLOW_ENTRY_PEER_LINKS_HPP
#define GLENHOLLOW_ENTRY_PEER_LINKS_HPP

#include "glenhollow/configuration/configuration.hpp"
#include "glenhollow/core/clock.hpp"
#include "glenhollow/entry/caller_api.hpp"
#include "glenhollow/entry/coordinator.hpp"
#include "glenhollow/membership/member.hpp"
#include "glenhollow/rpc/asio_stream.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace glenhollow
{

/// Demand of one team at one entry.
struct team_demand
{
    std::string team; ///< Which.
    double rate = 0;  ///< Task starts a second asked for.
};

/// What entries tell each other.
struct peer_report
{
    std::uint64_t incarnation = 0;    ///< Of the sender.
    std::uint64_t config_version = 0; ///< In force there.
    std::vector<team_demand> demand;  ///< There.
    bool stopping = false;            ///< It takes no new jobs.
    std::string holder;               ///< Who has its kept answers.
};

/// Settings of the links between entries.
struct peer_links_settings
{
    std::string entry = "entry"; ///< Our name.
    duration min_exchange_interval =
        milliseconds{500}; ///< Between exchanges with news.
    duration exchange_interval_per_peer =
        milliseconds{50};                ///< The same, for each peer.
    duration heartbeat = seconds{20};    ///< Between exchanges without.
    duration reply_timeout = seconds{2}; ///< For an exchange.
    duration probe_after = seconds{1};   ///< While calls wait for answers.
    duration initial_backoff = milliseconds{50}; ///< Of reconnects.
    duration max_backoff = seconds{2};           ///< The doubling ends here.
};

/// Counters of the links between entries.
struct peer_links_stats
{
    std::uint64_t exchanges = 0;   ///< Both ways.
    std::uint64_t submissions = 0; ///< Forwarded, both ways.
    std::uint64_t configuration_fetches =
        0;                       ///< Configurations asked for, both ways.
    std::uint64_t handovers = 0; ///< Messages with kept answers.
};

/// Links from one entry to the others, on the control thread, inside an
/// rpc_loop. They carry forwarded submissions, and on the same links demand,
/// configuration versions and planned stops.
class peer_links final
{
public:
    /// Told what a peer reported.
    using report_handler =
        std::function<void(const std::string& entry, const peer_report&)>;

    /// Told the answer of a peer, or nothing where it gave none.
    using answer_handler = std::function<void(std::optional<job_answer>)>;

    /// @param io The loop's context.
    /// @param clock The entry's clock; outlives the links.
    /// @param settings Limits.
    peer_links(boost::asio::io_context& io, const clock_source& clock,
               const peer_links_settings& settings);
    ~peer_links();

    /// @param handler Told each report.
    void on_report(report_handler handler) { on_report_ = std::move(handler); }

    /// @param entries All other entries.
    void set_entries(const std::vector<member>& entries);

    /// @param own What the next exchanges tell.
    void set_own_report(peer_report own_report);

    /// @return What exchanges tell.
    const peer_report& own_report() const { return own_report_; }

    /// Exchanges now instead of when they are due.
    void announce();

    /// Exchanges and reconnects that are due.
    void tick();

    /// Drops all connections; called inside the rpc_loop, before its end.
    void close();

    /// @param entry Another entry.
    /// @return Its last report, or null where the link is down.
    const peer_report* report_of(const std::string& entry) const;

    /// @return Entries whose links are up, stopping ones left out.
    std::vector<std::string> reachable() const;

    /// @return Entries known, this one left out.
    std::size_t known() const { return links_.size(); }

    /// @return The demand of each team at each reachable entry.
    std::map<std::string, std::vector<double>> demand() const;

    /// Forwards a job.
    /// @param entry Where to.
    /// @param id The submission.
    /// @param body As sent.
    /// @param traceparent W3C trace context, may be empty.
    /// @param adopt The entry itself has to adopt, if need be.
    /// @param done Told the answer.
    void submit(const std::string& entry, const std::string& id,
                const std::string& body, const std::string& traceparent,
                bool adopt, answer_handler done);

    /// Forwards a question about a job.
    /// @param entry Where to.
    /// @param id The submission.
    /// @param adopt The entry itself has to adopt, if need be.
    /// @param done Told the answer.
    void lookup(const std::string& entry, const std::string& id, bool adopt,
                answer_handler done);

    /// Forwards an operator's statement.
    /// @param entry Where to.
    /// @param statement As written.
    /// @param by Which operator.
    /// @param done Told the answer.
    void operate(const std::string& entry, const std::string& statement,
                 const std::string& by, answer_handler done);

    /// Asks whether an entry has the answers of an incarnation.
    /// @param entry Whom.
    /// @param incarnation Whose answers.
    /// @param done Told.
    void holds(const std::string& entry, std::uint64_t incarnation,
               std::function<void(bool)> done);

    /// Hands kept answers over.
    /// @param entry Who gets them.
    /// @param incarnation Whose they are.
    /// @param answers Some of them.
    /// @param done Told whether they arrived.
    void send_kept_answers(const std::string& entry, std::uint64_t incarnation,
                           const std::vector<coordinator::kept_answer>& answers,
                           std::function<void(bool)> done);

    /// Asks for a newer configuration.
    /// @param entry Whom.
    /// @param known Ours.
    /// @param done Told the newer one; not called without it.
    void pull(const std::string& entry, const configuration& known,
              std::function<void(const configuration&)> done);

    /// Asks for the members an address knows, without a link to it.
    /// @param where An entry's RPC address.
    /// @param done Told them; empty where it does not answer.
    void request_members(const host_port& address,
                         std::function<void(std::vector<member>)> done);

    /// @return Counters.
    const peer_links_stats& stats() const { return stats_; }

    /// @param page Gets the metrics of the links.
    void collect(metric_page& page) const;

private:
    struct link;

    void connect(link& peer_link);
    void on_connected(link& peer_link, boost::asio::ip::tcp::socket socket);
    void on_disconnected(const std::string& entry, std::uint64_t generation);
    void on_link_broken(link& peer_link, std::uint64_t generation);
    void exchange(link& peer_link);
    duration heartbeat_interval(const std::string& entry) const;
    link* find_up_link(const std::string& entry);

    boost::asio::io_context& io_;  ///< The loop's context.
    const clock_source& clock_;    ///< The entry's clock.
    peer_links_settings settings_; ///< Limits.
    report_handler on_report_;     ///< Told each report.
    peer_report own_report_;       ///< What we tell.
    bool report_changed_ =
        true; ///< own_report_ changed since the last exchange.
    std::map<std::string, std::unique_ptr<link>> links_; ///< By entry.
    std::uint64_t last_generation_ = 0; ///< Counts connections.
    stream_stats bytes_;                ///< Over all links.
    peer_links_stats stats_;            ///< Counters.
};

} // namespace glenhollow

#endif
