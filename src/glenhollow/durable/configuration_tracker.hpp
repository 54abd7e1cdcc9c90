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

/// Who brought a configuration's document.
enum class configuration_source
{
    store, ///< The row, as read or as changed.
    peer,  ///< Another entry.
};

template <>
struct name_table<configuration_source>
{
    static constexpr std::array<std::string_view, 2> names{"store", "peer"};
};

/// A document as another entry has it.
struct configuration_copy
{
    std::uint64_t version = 0; ///< As that entry says.
    std::string document;      ///< Whole.
};

/// Limits of a configuration keeper.
struct configuration_tracker_settings
{
    /// The store brings a new version to all entries; a copy from a peer would
    /// only fill that peer's link, 250 KB for each entry that asks. Where
    /// nothing is in force every request is refused, and a peer is asked at
    /// once.
    duration store_grace = milliseconds{400};
    duration fetch_timeout = milliseconds{800}; ///< Then another peer is asked.
    /// Slices wait for requests no longer than this; the rest is read at once.
    duration max_slice_wait = milliseconds{500};
    std::uint64_t seed = 1; ///< Of the choice among peers.
};

/// Numbers of a configuration keeper.
struct configuration_tracker_stats
{
    std::uint64_t applied = 0;  ///< Versions put in force.
    std::uint64_t repeated = 0; ///< Documents known already, not read.
    std::uint64_t stale = 0;    ///< Read, and not newer.
    std::uint64_t invalid = 0;  ///< Documents with a fault.
    std::uint64_t slices = 0;   ///< Read in all.
    std::uint64_t fetches = 0;  ///< Copies asked of peers.
    latency_summary times;      ///< From a document's arrival to its force.
};

/// Keeps the newest configuration of an entry: reads a document in slices
/// between which requests are answered, reads none twice, and asks one peer
/// for a copy where the store does not bring it. A version, once in force, is
/// only replaced by a higher one. At most three documents are in memory: in
/// force, being read, and waiting to be read.
class configuration_tracker final
{
public:
    /// Called once with the copy, or with nothing.
    using copy_handler = std::function<void(std::optional<configuration_copy>)>;

    /// What surrounds the keeper.
    struct dependencies
    {
        const clock_source& clock; ///< Outlives it.
        catalog_parser parse;      ///< Reads documents.
        /// Runs work after what is ready now.
        std::function<void(std::function<void()>)> later;
        /// Asks a peer for its copy.
        std::function<void(const std::string& peer, copy_handler)> fetch;
        std::function<void()> applied; ///< Told of each new version.
    };

    /// @param around What surrounds it.
    /// @param settings Limits.
    configuration_tracker(dependencies dependencies,
                          const configuration_tracker_settings& settings);

    /// @param document Whole, perhaps known.
    void offer_from_store(const std::string& document);

    /// @param peer Another entry.
    /// @param version Newest that it has.
    void peer_has_version(const std::string& peer, std::uint64_t version);

    /// Asks a peer where the store has not brought what others have.
    /// @param store_reachable Whether the store answers this entry.
    void tick(bool store_reachable);

    /// @return The newest version; its version is 0 while there is none.
    const queue_catalog& catalog() const { return catalog_; }

    /// @return Its document.
    const std::string& document() const { return document_; }

    /// @return Numbers.
    const configuration_tracker_stats& stats() const { return stats_; }

    /// @param page Gets the metrics.
    void collect(metric_page& page) const;

private:
    /// A document that is to be read.
    struct candidate
    {
        std::string document;        ///< Whole.
        configuration_source source; ///< Who brought it.
        std::uint64_t version = 0;   ///< 0: not known before it is read.
        instant at{};                ///< When it came.
    };

    void offer(candidate one);
    bool is_known(const candidate& one) const;
    void begin();
    void next_slice();
    void finish_reading(result<queue_catalog> read);
    void fetch_from(const std::string& peer);

    dependencies dependencies_;               ///< What surrounds it.
    configuration_tracker_settings settings_; ///< Limits.
    queue_catalog catalog_;                   ///< In force.
    std::string document_;                    ///< Its source.
    std::optional<candidate> reading_;        ///< Being read.
    std::unique_ptr<catalog_reader> reader_;  ///< Reads it.
    std::optional<candidate> waiting_;        ///< To be read next.
    std::size_t invalid_hash_ = 0; ///< Hash of the last one with a fault.
    std::map<std::string, std::uint64_t>
        newer_peers_;                   ///< Peers with higher ones.
    std::uint64_t highest_known_ = 0;   ///< Version heard of.
    instant behind_since_{};            ///< Since when it is higher than ours.
    std::optional<instant> fetch_sent_; ///< When a copy was asked for.
    std::uint64_t last_fetch_id_ = 0;   ///< Tells answers apart.
    std::minstd_rand random_;           ///< Chooses among peers.
    configuration_tracker_stats stats_; ///< Numbers.
};

} // namespace glenhollow

#endif
