#include "glenhollow/entry/shard.hpp"

#include <boost/asio/post.hpp>

namespace glenhollow
{

namespace
{

/// The shard that runs on this thread, or null.
thread_local shard* current_shard = nullptr;

constexpr duration link_tick_interval = milliseconds{100};

} // namespace

shard::shard(const shard_settings& settings, entry_backend& backend,
             span_exporter* spans)
    : settings_(settings), spans_(spans), api_(backend, spans),
      wake_timer_(loop_.io()), link_timer_(loop_.io())
{
}

shard::~shard() = default;

result<std::unique_ptr<shard>> shard::create(const shard_settings& settings,
                                             entry_backend& backend,
                                             span_exporter* spans)
{
    std::unique_ptr<shard> created(new shard(settings, backend, spans));
    auto* self = created.get();
    BOOST_OUTCOME_TRY(
        auto server,
        http_server::create(created->loop_.io(), settings.http,
                            [self](http_request request, http_responder done) {
                                self->api_.handle(std::move(request),
                                                  std::move(done));
                            }));
    created->server_ = std::move(server);
    created->links_ = std::make_unique<agent_links>(
        created->loop_.io(), process_clock(), settings.links);
    created->coordinator_ = std::make_unique<coordinator>(
        process_clock(), *created->links_, settings.incarnation,
        settings.coordinator, settings.seed);
    created->coordinator_->set_span_exporter(spans);
    created->coordinator_->ring().on_notable(
        [self](const decision_record& record)
        { self->notable_decisions_.add(self->to_report_line(record)); });
    created->links_->attach(*created->coordinator_,
                            [self] { self->schedule_dispatch(); });
    return created;
}

void shard::run()
{
    current_shard = this;
    loop_.run([this] { set_up(); }, [this] { tear_down(); });
    current_shard = nullptr;
}

void shard::set_up()
{
    tick_links();
}

void shard::tear_down()
{
    link_timer_.cancel();
    wake_timer_.cancel();
    links_->close();
}

shard* shard::current()
{
    return current_shard;
}

void shard::run_or_post(std::function<void(shard&)> work)
{
    if (current() == this)
        work(*this);
    else
        post(std::move(work));
}

void shard::post(std::function<void(shard&)> work)
{
    boost::asio::post(loop_.io(),
                      [this, work = std::move(work)] { work(*this); });
}

void shard::schedule_dispatch()
{
    if (dispatch_posted_)
        return;
    dispatch_posted_ = true;
    boost::asio::post(loop_.io(),
                      [this]
                      {
                          dispatch_posted_ = false;
                          coordinator_->dispatch();
                          schedule_wake();
                      });
}

void shard::schedule_wake()
{
    const auto next = coordinator_->next_wake();
    if (!next || (wake_at_ && *wake_at_ <= *next))
        return;
    wake_at_ = next;
    const auto wait =
        std::max<duration>(*next - process_clock().now(), duration::zero());
    wake_timer_.expires_after(wait);
    wake_timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (ec)
                return;
            wake_at_.reset();
            coordinator_->tick();
            schedule_wake();
        });
}

void shard::tick_links()
{
    links_->tick();
    link_timer_.expires_after(link_tick_interval);
    link_timer_.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
                tick_links();
        });
}

night_report shard::take_notable_decisions()
{
    return std::exchange(notable_decisions_, night_report{});
}

report_line shard::to_report_line(const decision_record& record) const
{
    report_line line;
    line.wall = record.wall;
    line.entry = settings_.coordinator.entry;
    line.kind = record.kind;
    line.why = record.why;
    line.what = record.what;
    if (record.sequence != 0)
        line.submission = coordinator_->id_text(record.sequence);
    if (record.runner != 0)
        line.runner = links_->name_of(record.runner - 1);
    return line;
}

void shard::stop_accepting()
{
    coordinator_->stop_accepting();
    server_->stop_accepting();
}

bool shard::idle() const
{
    return coordinator_->idle() && server_->in_flight() == 0;
}

void shard::collect(metric_page& page) const
{
    coordinator_->collect(page);
    links_->collect(page);
    page.gauge("callers_in_flight", "Requests of callers in flight",
               static_cast<double>(server_->in_flight()));
}

} // namespace glenhollow
