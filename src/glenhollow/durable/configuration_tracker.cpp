#include "glenhollow/durable/configuration_tracker.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace glenhollow
{

configuration_tracker::configuration_tracker(
    dependencies dependencies, const configuration_tracker_settings& settings)
    : dependencies_(std::move(dependencies)), settings_(settings),
      random_(static_cast<std::minstd_rand::result_type>(settings.seed))
{
}

void configuration_tracker::offer_from_store(const std::string& document)
{
    offer(
        {document, configuration_source::store, 0, dependencies_.clock.now()});
}

/// Documents with equal bytes are the same version and need not be parsed.
bool configuration_tracker::is_known(const candidate& one) const
{
    if (one.version != 0 && one.version <= catalog_.version)
        return true;
    return one.document == document_ ||
           (reading_ && one.document == reading_->document) ||
           (invalid_hash_ != 0 &&
            std::hash<std::string>{}(one.document) == invalid_hash_);
}

/// A document from the store replaces a waiting copy. A copy can be requested
/// again, but the store does not deliver a row twice.
void configuration_tracker::offer(candidate one)
{
    if (is_known(one))
    {
        ++stats_.repeated;
        return;
    }
    if (!waiting_ || one.source == configuration_source::store)
        waiting_ = std::move(one);
    if (!reading_)
        begin();
}

void configuration_tracker::begin()
{
    while (waiting_ && !reading_)
    {
        auto next = std::move(*waiting_);
        waiting_.reset();
        if (is_known(next))
        {
            ++stats_.repeated;
            continue;
        }
        reading_ = std::move(next);
        reader_ = dependencies_.parse(reading_->document);
        dependencies_.later([this] { next_slice(); });
    }
}

void configuration_tracker::next_slice()
{
    assert(reading_ && reader_);
    std::optional<result<queue_catalog>> read;
    do
    {
        read = reader_->step();
        ++stats_.slices;
    } while (!read && dependencies_.clock.now() - reading_->at >=
                          settings_.max_slice_wait);
    if (!read)
        return dependencies_.later([this] { next_slice(); });
    finish_reading(std::move(*read));
}

void configuration_tracker::finish_reading(result<queue_catalog> read)
{
    reader_.reset();
    auto done = std::move(*reading_);
    reading_.reset();
    if (!read)
    {
        ++stats_.invalid;
        invalid_hash_ = std::hash<std::string>{}(done.document);
        log_change(
            log_level::error, "configuration_invalid",
            {{"source", to_name(done.source)}, {"cause", read.error().text}});
    }
    else if (read.value().version <= catalog_.version)
    {
        ++stats_.stale;
    }
    else
    {
        const auto length = dependencies_.clock.now() - done.at;
        ++stats_.applied;
        stats_.times.add(std::chrono::duration<double>(length).count());
        catalog_ = std::move(read.value());
        document_ = std::move(done.document);
        std::erase_if(newer_peers_, [this](const auto& one)
                      { return one.second <= catalog_.version; });
        log_change(
            log_level::info, "configuration_applied",
            {{"version", catalog_.version},
             {"queues", catalog_.queues().size()},
             {"source", to_name(done.source)},
             {"duration_ms",
              std::chrono::duration_cast<milliseconds>(length).count()}});
        dependencies_.applied();
    }
    begin();
}

void configuration_tracker::peer_has_version(const std::string& peer,
                                             std::uint64_t version)
{
    if (version <= catalog_.version)
    {
        newer_peers_.erase(peer);
        return;
    }
    if (highest_known_ <= catalog_.version)
        behind_since_ = dependencies_.clock.now();
    highest_known_ = std::max(highest_known_, version);
    newer_peers_[peer] = version;
    if (catalog_.version == 0)
        tick(false);
}

void configuration_tracker::tick(bool store_reachable)
{
    if (newer_peers_.empty() || reading_)
        return;
    const auto now = dependencies_.clock.now();
    if (store_reachable && catalog_.version != 0 &&
        now - behind_since_ < settings_.store_grace)
        return;
    if (fetch_sent_ && now - *fetch_sent_ < settings_.fetch_timeout)
        return;
    std::uniform_int_distribution<std::size_t> any(0, newer_peers_.size() - 1);
    const auto chosen = std::next(newer_peers_.begin(),
                                  static_cast<std::ptrdiff_t>(any(random_)));
    // A peer that is still alive announces its version again.
    const auto peer = chosen->first;
    newer_peers_.erase(chosen);
    fetch_from(peer);
}

void configuration_tracker::fetch_from(const std::string& peer)
{
    fetch_sent_ = dependencies_.clock.now();
    ++stats_.fetches;
    const auto fetch_id = ++last_fetch_id_;
    dependencies_.fetch(peer,
                        [this, fetch_id](std::optional<configuration_copy> got)
                        {
                            if (fetch_id == last_fetch_id_)
                                fetch_sent_.reset();
                            if (got && got->version > catalog_.version)
                                offer({std::move(got->document),
                                       configuration_source::peer, got->version,
                                       dependencies_.clock.now()});
                        });
}

void configuration_tracker::collect(metric_page& page) const
{
    const auto count = [&page](std::string_view name, std::string_view help,
                               std::uint64_t value)
    { page.counter(name, help, static_cast<double>(value)); };
    count("configurations_taken_total", "Configuration versions put in force",
          stats_.applied);
    count("configurations_repeated_total",
          "Configuration documents skipped because already known",
          stats_.repeated);
    count("configurations_older_total",
          "Configuration documents read but not newer", stats_.stale);
    count("configurations_unreadable_total",
          "Configuration documents that failed to parse", stats_.invalid);
    count("configuration_slices_total",
          "Slices in which configuration documents were parsed", stats_.slices);
    count("configuration_fetches_total",
          "Configuration copies requested from other entries", stats_.fetches);
    page.summary(
        "configuration_seconds",
        "Time from the receipt of a configuration document to its application",
        stats_.times);
    page.gauge("configuration_queues", "Queues of the configuration in force",
               static_cast<double>(catalog_.queues().size()));
    page.gauge("configuration_version", "Version of the configuration in force",
               static_cast<double>(catalog_.version));
}

} // namespace glenhollow
