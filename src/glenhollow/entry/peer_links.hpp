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

/// Demand of one client account at one entry.
struct team_demand
{
    std::string team; ///< Name of the client account.
    double rate = 0;  ///< Requested task starts per second.
};

/// State that an entry reports to its peers in an exchange.
struct peer_report
{
    std::uint64_t incarnation = 0;    ///< Incarnation of the reporting entry.
    std::uint64_t config_version = 0; ///< Version that the entry applies.
    std::vector<team_demand> demand;  ///< Demand by client account.
    bool stopping = false;            ///< The entry takes no new jobs.
    std::string holder; ///< Receiver of its kept answers; may be empty.
};

/// Settings of the links between entries.
struct peer_links_settings
{
    std::string entry = "entry"; ///< This entry's name.

    /// Shortest interval between exchanges of a changed report.
    duration min_exchange_interval = milliseconds{500};

    /// Lower bound of the same interval for each known peer.
    duration exchange_interval_per_peer = milliseconds{50};

    /// Interval between exchanges of an unchanged report.
    duration heartbeat = seconds{20};

    /// Timeout of an exchange.
    duration reply_timeout = seconds{2};

    /// Time without an exchange after which pending calls cause one.
    duration probe_after = seconds{1};

    duration initial_backoff = milliseconds{50}; ///< First reconnect delay.
    duration max_backoff = seconds{2};           ///< Longest reconnect delay.
};

/// Counters of the links between entries. Requests and replies count as one
/// message each.
struct peer_links_stats
{
    std::uint64_t exchanges = 0;   ///< Messages of exchanges.
    std::uint64_t submissions = 0; ///< Messages of submissions and lookups.
    std::uint64_t configuration_fetches = 0; ///< Messages of fetches.
    std::uint64_t handovers = 0;             ///< Handover requests only.
};

/// Links from one entry to the others. They carry forwarded submissions and
/// exchanges of demand, configuration versions and planned stops. Runs on the
/// control thread, inside an rpc_loop.
class peer_links final
{
public:
    /// Called with the report of a peer.
    using report_handler =
        std::function<void(const std::string& entry, const peer_report&)>;

    /// Called with the answer of a peer, or with nothing if the call failed.
    using answer_handler = std::function<void(std::optional<job_answer>)>;

    /// @param io The loop's I/O context.
    /// @param clock The entry's clock; must outlive the links.
    /// @param settings Intervals and timeouts.
    peer_links(boost::asio::io_context& io, const clock_source& clock,
               const peer_links_settings& settings);
    ~peer_links();

    /// @param handler Called with each report of a peer.
    void on_report(report_handler handler) { on_report_ = std::move(handler); }

    /// Opens links to new entries and closes those to removed ones.
    /// @param entries All known entries; this one is skipped.
    void set_entries(const std::vector<member>& entries);

    /// Sets the report that the next exchanges send. Ignores small changes of
    /// demand.
    void set_own_report(peer_report own_report);

    /// @return The report that exchanges send.
    const peer_report& own_report() const { return own_report_; }

    /// Starts an exchange with every connected peer at once.
    void announce();

    /// Starts the exchanges and reconnects that are due, and drops links whose
    /// exchange timed out.
    void tick();

    /// Closes all connections. Call it inside the rpc_loop, before the loop
    /// ends.
    void close();

    /// @return The last report of an entry, or null if its link is down.
    const peer_report* report_of(const std::string& entry) const;

    /// @return The entries whose links are up, except stopping ones.
    std::vector<std::string> reachable() const;

    /// @return The number of known entries, without this one.
    std::size_t known() const { return links_.size(); }

    /// @return The demand of each client account, one rate for each connected
    /// peer that reports it.
    std::map<std::string, std::vector<double>> demand() const;

    /// Forwards a job.
    /// @param entry Receiving entry.
    /// @param id Submission id.
    /// @param body Request body as the caller sent it.
    /// @param traceparent W3C trace context; may be empty.
    /// @param adopt Whether the receiver must adopt the issuer's jobs itself
    /// if they have no owner, instead of forwarding again.
    /// @param done Called with the answer.
    void submit(const std::string& entry, const std::string& id,
                const std::string& body, const std::string& traceparent,
                bool adopt, answer_handler done);

    /// Forwards a lookup of a job.
    /// @param entry Receiving entry.
    /// @param id Submission id.
    /// @param adopt Same as for submit().
    /// @param done Called with the answer.
    void lookup(const std::string& entry, const std::string& id, bool adopt,
                answer_handler done);

    /// Forwards an operator's statement.
    /// @param entry Receiving entry.
    /// @param statement Text of the statement.
    /// @param by Name of the operator.
    /// @param done Called with the answer.
    void operate(const std::string& entry, const std::string& statement,
                 const std::string& by, answer_handler done);

    /// Asks whether an entry has the answers of an incarnation.
    /// @param entry Entry that is asked.
    /// @param incarnation Incarnation that issued the submissions.
    /// @param done Called with the reply; false if the call failed.
    void holds(const std::string& entry, std::uint64_t incarnation,
               std::function<void(bool)> done);

    /// Hands over a batch of kept answers.
    /// @param entry Receiving entry.
    /// @param incarnation Incarnation that issued the submissions.
    /// @param answers The batch.
    /// @param done Called with whether the receiver acknowledged the batch.
    void send_kept_answers(const std::string& entry, std::uint64_t incarnation,
                           const std::vector<coordinator::kept_answer>& answers,
                           std::function<void(bool)> done);

    /// Fetches a newer configuration.
    /// @param entry Entry that is asked.
    /// @param known Configuration of this entry.
    /// @param done Called with the newer configuration; not called if there is
    /// none or the call failed.
    void fetch_configuration(const std::string& entry,
                             const configuration& known,
                             std::function<void(const configuration&)> done);

    /// Fetches the member list of an entry over a connection of its own.
    /// @param address RPC address of the entry.
    /// @param done Called with the members; empty if the call failed.
    void request_members(const host_port& address,
                         std::function<void(std::vector<member>)> done);

    /// @return Message counters.
    const peer_links_stats& stats() const { return stats_; }

    /// Adds the metrics of the links to a page.
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

    boost::asio::io_context& io_;  ///< The loop's I/O context.
    const clock_source& clock_;    ///< The entry's clock.
    peer_links_settings settings_; ///< Intervals and timeouts.
    report_handler on_report_;     ///< Called with each report of a peer.
    peer_report own_report_;       ///< Report that exchanges send.
    bool report_changed_ = true;   ///< Some peer lacks own_report_.
    std::map<std::string, std::unique_ptr<link>> links_; ///< Keyed by name.
    std::uint64_t last_generation_ = 0; ///< Last connection number given out.
    stream_stats bytes_;                ///< Bytes over all links.
    peer_links_stats stats_;            ///< Message counters.
};

} // namespace glenhollow

#endif
