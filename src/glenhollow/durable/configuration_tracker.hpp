#ifndef GLENHOLLOW_DURABLE_CONFIGURATION_TRACKER_HPP
#define GLENHOLLOW_DURABLE_CONFIGURATION_TRACKER_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/core/names.hpp"
#include "glenhollow/durable/queue_catalog.hpp"
#include "glenhollow/telemetry/metrics.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace glenhollow
{

/// Origin of a configuration document.
enum class configuration_source
{
    store, ///< The configuration's row in the store.
    peer,  ///< A copy from another entry.
};

template <>
struct name_table<configuration_source>
{
    static constexpr std::array<std::string_view, 2> names{"store", "peer"};
};

/// A configuration document sent by another entry.
struct configuration_copy
{
    std::uint64_t version = 0; ///< Version as stated by that entry.
    std::string document;      ///< Complete document.
};

/// Timing of a configuration tracker.
struct configuration_tracker_settings
{
    /// Time that the store has to deliver a version that a peer already has.
    /// Copies from peers load the peers' links, each by up to the size of the
    /// document (some 250 KB). An entry without any
    /// configuration refuses all requests, so it asks a peer immediately.
    duration store_grace = milliseconds{400};
    /// Time after which another peer is asked.
    duration fetch_timeout = milliseconds{800};
    /// Time for which slices of a document give way to requests; the rest of
    /// the document is then read in one go.
    duration max_slice_wait = milliseconds{500};
    std::uint64_t seed = 1; ///< Seed of the random choice among peers.
};

/// Counters of a configuration tracker.
struct configuration_tracker_stats
{
    std::uint64_t applied = 0;  ///< Versions put in force.
    std::uint64_t repeated = 0; ///< Documents skipped because already known.
    std::uint64_t stale = 0;    ///< Documents read but not newer.
    std::uint64_t invalid = 0;  ///< Documents that failed to parse.
    std::uint64_t slices = 0;   ///< Slices read in total.
    std::uint64_t fetches = 0;  ///< Copies requested from peers.
    latency_summary times;      ///< Time from receipt to application.
};

/// Keeps the newest configuration of an entry. Documents are parsed in slices
/// so that requests are served in between, and a known document is not parsed
/// again. If the store does not deliver a newer version, one peer is asked for
/// a copy. A version in force is replaced only by a higher one. At most three
/// documents are in memory: the one in force, the one being parsed and the one
/// queued.
class configuration_tracker final
{
public:
    /// Receives the copy, or nothing if there is no answer; called once.
    using copy_handler = std::function<void(std::optional<configuration_copy>)>;

    /// Collaborators of the tracker.
    struct dependencies
    {
        const clock_source& clock; ///< Must outlive the tracker.
        catalog_parser parse;      ///< Starts to parse a document.
        /// Runs work after everything that is ready now.
        std::function<void(std::function<void()>)> later;
        /// Requests a peer's copy.
        std::function<void(const std::string& peer, copy_handler)> fetch;
        /// Called after each new version was put in force.
        std::function<void()> applied;
    };

    /// Creates a tracker without any configuration.
    configuration_tracker(dependencies dependencies,
                          const configuration_tracker_settings& settings);

    /// Queues a document read from the store unless it is known.
    void offer_from_store(const std::string& document);

    /// Records the newest version that a peer has announced.
    void peer_has_version(const std::string& peer, std::uint64_t version);

    /// Requests a copy from a peer if the store has not delivered a version
    /// that peers have.
    /// @param store_reachable Whether the store answers this entry.
    void tick(bool store_reachable);

    /// @return The configuration in force; version 0 if there is none yet.
    const queue_catalog& catalog() const { return catalog_; }

    /// @return The document of the configuration in force.
    const std::string& document() const { return document_; }

    /// @return Counters since the start.
    const configuration_tracker_stats& stats() const { return stats_; }

    /// Adds the tracker's metrics to a page.
    void collect(metric_page& page) const;

private:
    /// A received document that is not parsed yet.
    struct candidate
    {
        std::string document;
        configuration_source source;
        std::uint64_t version = 0; ///< 0 if unknown before parsing.
        instant at{};              ///< Time of receipt.
    };

    void offer(candidate one);
    bool is_known(const candidate& one) const;
    void begin();
    void next_slice();
    void finish_reading(result<queue_catalog> read);
    void fetch_from(const std::string& peer);

    dependencies dependencies_;
    configuration_tracker_settings settings_;
    queue_catalog catalog_;                  ///< Configuration in force.
    std::string document_;                   ///< Document of catalog_.
    std::optional<candidate> reading_;       ///< Document being parsed.
    std::unique_ptr<catalog_reader> reader_; ///< Parser of reading_.
    std::optional<candidate> waiting_;       ///< Next document to parse.
    std::size_t invalid_hash_ = 0; ///< Hash of the last invalid document.
    /// Newer versions announced, by peer.
    std::map<std::string, std::uint64_t> newer_peers_;
    std::uint64_t highest_known_ = 0; ///< Highest version announced.
    instant behind_since_{};          ///< Time of the first newer announcement.
    std::optional<instant> fetch_sent_; ///< Send time of the open request.
    std::uint64_t last_fetch_id_ = 0;   ///< Number of the latest request.
    std::minstd_rand random_;           ///< Picks a peer.
    configuration_tracker_stats stats_;
};

} // namespace glenhollow

#endif
