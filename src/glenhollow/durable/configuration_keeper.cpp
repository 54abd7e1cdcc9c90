#include "glenhollow/durable/configuration_keeper.hpp"

#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace glenhollow
{

configuration_keeper::configuration_keeper(
    dependencies around, const configuration_keeper_settings& settings)
    : around_(std::move(around)), settings_(settings),
      random_(static_cast<std::minstd_rand::result_type>(settings.seed))
{
}

void configuration_keeper::from_store(const std::string& document)
{
    offer({document, configuration_source::store, 0, around_.clock.now()});
}

/// Equal bytes are an equal version, which costs no reading.
bool configuration_keeper::is_known(const arrival& one) const
{
    if (one.version != 0 && one.version <= catalog_.version)
        return true;
    return one.document == document_ ||
           (reading_ && one.document == reading_->document) ||
           (unreadable_ != 0 &&
            std::hash<std::string>{}(one.document) == unreadable_);
}

/// The store's word takes the place of a waiting copy: a copy can be asked for
/// again, a row that was told is not told again.
void configuration_keeper::offer(arrival one)
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

void configuration_keeper::begin()
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
        reader_ = around_.parse(reading_->document);
        around_.later([this] { next_slice(); });
    }
}

void configuration_keeper::next_slice()
{
    assert(reading_ && reader_);
    std::optional<result<queue_catalog>> read;
    do
    {
        read = reader_->step();
        ++stats_.slices;
    } while (!read && around_.clock.now() - reading_->at >= settings_.patience);
    if (!read)
        return around_.later([this] { next_slice(); });
    ended(std::move(*read));
}

void configuration_keeper::ended(result<queue_catalog> read)
{
    reader_.reset();
    auto done = std::move(*reading_);
    reading_.reset();
    if (!read)
    {
        ++stats_.unreadable;
        unreadable_ = std::hash<std::string>{}(done.document);
        log_change(
            log_level::error, "configuration_unreadable",
            {{"source", to_name(done.source)}, {"cause", read.error().text}});
    }
    else if (read.value().version <= catalog_.version)
    {
        ++stats_.older;
    }
    else
    {
        const auto length = around_.clock.now() - done.at;
        ++stats_.taken;
        stats_.times.add(std::chrono::duration<double>(length).count());
        catalog_ = std::move(read.value());
        document_ = std::move(done.document);
        std::erase_if(ahead_, [this](const auto& one)
                      { return one.second <= catalog_.version; });
        log_change(
            log_level::info, "configuration_taken",
            {{"version", catalog_.version},
             {"queues", catalog_.queues().size()},
             {"source", to_name(done.source)},
             {"took_ms",
              std::chrono::duration_cast<milliseconds>(length).count()}});
        around_.taken();
    }
    begin();
}

void configuration_keeper::heard(const std::string& peer, std::uint64_t version)
{
    if (version <= catalog_.version)
    {
        ahead_.erase(peer);
        return;
    }
    if (highest_ <= catalog_.version)
        behind_since_ = around_.clock.now();
    highest_ = std::max(highest_, version);
    ahead_[peer] = version;
    if (catalog_.version == 0)
        tick(false);
}

void configuration_keeper::tick(bool store_reachable)
{
    if (ahead_.empty() || reading_)
        return;
    const auto now = around_.clock.now();
    if (store_reachable && catalog_.version != 0 &&
        now - behind_since_ < settings_.store_first)
        return;
    if (asked_ && now - *asked_ < settings_.fetch_timeout)
        return;
    std::uniform_int_distribution<std::size_t> any(0, ahead_.size() - 1);
    const auto chosen =
        std::next(ahead_.begin(), static_cast<std::ptrdiff_t>(any(random_)));
    // It says so again when it is still there.
    const auto peer = chosen->first;
    ahead_.erase(chosen);
    fetch_from(peer);
}

void configuration_keeper::fetch_from(const std::string& peer)
{
    asked_ = around_.clock.now();
    ++stats_.fetches;
    const auto ask = ++asks_;
    around_.fetch(peer,
                  [this, ask](std::optional<configuration_copy> got)
                  {
                      if (ask == asks_)
                          asked_.reset();
                      if (got && got->version > catalog_.version)
                          offer({std::move(got->document),
                                 configuration_source::peer, got->version,
                                 around_.clock.now()});
                  });
}

void configuration_keeper::collect(metric_page& page) const
{
    const auto count = [&page](std::string_view name, std::string_view help,
                               std::uint64_t value)
    { page.counter(name, help, static_cast<double>(value)); };
    count("configurations_taken_total", "Versions put in force", stats_.taken);
    count("configurations_repeated_total", "Documents known already",
          stats_.repeated);
    count("configurations_older_total", "Documents read and not newer",
          stats_.older);
    count("configurations_unreadable_total", "Documents with a fault",
          stats_.unreadable);
    count("configuration_slices_total", "Slices in which they were read",
          stats_.slices);
    count("configuration_fetches_total", "Copies asked of other entries",
          stats_.fetches);
    page.summary("configuration_seconds",
                 "From a document's arrival to its force", stats_.times);
    page.gauge("configuration_queues", "Queues in force",
               static_cast<double>(catalog_.queues().size()));
    page.gauge("configuration_version", "Newest version taken",
               static_cast<double>(catalog_.version));
}

} // namespace glenhollow
