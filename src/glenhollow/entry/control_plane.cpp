#include "glenhollow/entry/control_plane.hpp"

#include "glenhollow/core/random.hpp"
#include "glenhollow/language/parser.hpp"
#include "glenhollow/telemetry/log.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>
#include <utility>

namespace glenhollow
{

namespace
{

constexpr duration quota_interval = milliseconds{250};
constexpr duration link_interval = milliseconds{100};
constexpr duration decision_collection_interval = seconds{2};
constexpr duration waste_interval = seconds{10};
constexpr std::string_view platform_list = "platform list";

/// Size in bytes at which a message of kept answers is full.
constexpr std::size_t max_handover_message_bytes = 512UL << 10;

/// Demand of the client accounts with a quota at one shard.
using shard_demand = std::vector<std::pair<std::string, double>>;

tuning read_defaults(const std::string& statements)
{
    tuning values;
    std::istringstream lines(statements);
    std::string line;
    while (std::getline(lines, line))
    {
        const auto parsed = parse_statement(line, dialect::operators);
        if (!parsed)
            continue;
        if (const auto* set = std::get_if<set_statement>(&parsed.value()))
        {
            if (const auto* setting = find_setting(set->key))
                static_cast<void>(set_value(*setting, set->value, values));
        }
    }
    return values;
}

duration to_duration(double length)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(length));
}

/// Applies the effective settings to a shard.
void apply_tuning(shard& to, const tuning& values)
{
    auto limits = to.jobs().settings();
    limits.placement_strategy = values.placement;
    limits.queue.order = values.queue_order;
    limits.placement.overcommit = values.overcommit;
    limits.placement.short_reserve = values.short_reserve;
    limits.long_task_seconds = values.long_task_ms / 1000;
    limits.start_window = to_duration(values.start_window_s);
    limits.id_lifetime = to_duration(values.id_lifetime_s);
    limits.ack_delay = to_duration(values.ack_delay_s);
    limits.admission.deadline_share = values.deadline_share;
    limits.admission.max_queued_tasks =
        static_cast<std::size_t>(values.max_queued_tasks);
    limits.admission.max_jobs = static_cast<std::size_t>(values.max_jobs);
    limits.retry.share = values.retry_share;
    limits.health.most_ejected = values.most_ejected;
    limits.health.slow_at = values.slow_at;
    limits.quota.burst_seconds = values.quota_burst_s;
    to.jobs().apply(limits);
    agent_links_settings links;
    links.starts_per_call = static_cast<std::size_t>(values.starts_per_call);
    links.heartbeat = to_duration(values.heartbeat_s);
    links.resend_window = to_duration(values.resend_window_s);
    to.links().apply(links);
}

/// Applies the quotas and weights of the client accounts to a shard.
void apply_teams(shard& to, const configuration& config, const tuning& values)
{
    auto& quota = to.jobs().quota();
    quota.clear_quotas();
    quota.set_default(values.default_team_quota < 0
                          ? std::nullopt
                          : std::optional(values.default_team_quota));
    for (const auto& [team, row] : config.rows_of(row_kind::quota))
        quota.set_quota(team, std::strtod(row.value.c_str(), nullptr));
    for (const auto& [team, row] : config.rows_of(row_kind::weight))
        to.jobs().set_weight(team, std::strtod(row.value.c_str(), nullptr));
}

} // namespace

control_plane::control_plane(boost::asio::io_context& io, shard_group& shards,
                             const control_plane_settings& settings)
    : io_(io), shards_(shards), settings_(settings),
      defaults_(read_defaults(settings.defaults)),
      platform_(io, process_clock(), settings.platform),
      store_(platform_, process_clock(), {settings.entry},
             settings.incarnation),
      peers_(io, process_clock(), {settings.entry}), agents_(io, {}),
      foreign_(io, process_clock(), peers_, agents_, members_,
               {settings.entry, settings.subset}),
      report_(settings.night_report)
{
    members_.on_changed([this] { apply_members(); });
    store_.on_changed([this](const configuration& newer)
                      { apply_configuration(newer); });
    peers_.on_report([this](const std::string& entry, const peer_report& report)
                     { handle_peer_report(entry, report); });
    foreign_.on_adopted(
        [this](const adoption_report& done)
        {
            record_decision(decision_kind::adopted, reason::entry_lost, "", "",
                            "entry " + done.entry + ": " +
                                std::to_string(done.complete_jobs) + " of " +
                                std::to_string(done.jobs) + " jobs whole, " +
                                std::to_string(done.unreachable_agents) +
                                " agents gave no answer");
        });
}

control_plane::~control_plane() = default;

void control_plane::add_periodic_tasks(supervisor& parent)
{
    const auto add =
        [&](std::string name, duration interval, std::function<void()> work)
    {
        parent.add(std::make_unique<periodic_task>(std::move(name), io_,
                                                   interval, std::move(work)),
                   restart_policy::restart);
    };
    add("membership_and_configuration", settings_.poll_interval,
        [this] { poll(); });
    add("peer_links", link_interval,
        [this]
        {
            peers_.tick();
            foreign_.tick();
            store_.tick();
        });
    add("quota_shares", quota_interval, [this] { distribute_quota_shares(); });
    add("decision_log", decision_collection_interval,
        [this] { collect_notable_decisions(); });
    add("night_report", settings_.report_interval,
        [this] { write_report([] {}); });
    add("waste_history", waste_interval,
        [this]
        {
            shards_.gather<agent_links_stats>(
                [](shard& one) { return one.links().stats(); },
                [this](const std::vector<agent_links_stats>& all)
                {
                    waste_counts counts;
                    for (const auto& links : all)
                    {
                        counts[waste_kind::ping] += links.pings;
                        counts[waste_kind::hello] += links.hellos;
                        counts[waste_kind::refused_start] +=
                            links.refused_starts;
                        counts[waste_kind::repeated_start] +=
                            links.repeated_starts;
                        counts[waste_kind::configuration] +=
                            links.configurations;
                        counts.tasks += links.starts;
                    }
                    const auto& peers = peers_.stats();
                    counts[waste_kind::exchange] = peers.exchanges;
                    counts[waste_kind::configuration] +=
                        peers.configuration_fetches;
                    counts[waste_kind::handover] = peers.handovers;
                    waste_.add(process_clock().now(), counts);
                });
        });
}

void control_plane::start()
{
    apply_configuration(store_.current());
    poll();
    if (!settings_.seeds.empty())
        request_members_from_seeds();
}

void control_plane::close()
{
    agents_.close();
    peers_.close();
}

void control_plane::poll()
{
    // All entries share the platform's read limit and peers report newer
    // configurations too, so the interval grows while the VM list is unchanged.
    const instant now = process_clock().now();
    if (now < next_poll_)
        return;
    poll_interval_ = std::min(poll_interval_ * 2, settings_.max_poll_interval);
    next_poll_ = now + poll_interval_;
    platform_.list_vms(
        vm_revision_,
        [this](platform_outcome outcome, const vm_changes& changes)
        {
            if (outcome != platform_outcome::done)
            {
                if (members_.members().empty())
                    request_members_from_seeds();
                return;
            }
            vm_revision_ = changes.revision;
            if (!changes.changed.empty())
                poll_interval_ = settings_.poll_interval;
            members_.apply(changes.changed);
        });
    store_.poll();
    fetch_configuration_from_agents();
}

void control_plane::request_members_from_seeds()
{
    for (const auto& seed : settings_.seeds)
    {
        peers_.request_members(seed, [this](const std::vector<member>& known)
                               { members_.add_unknown(known); });
    }
}

void control_plane::apply_members()
{
    const auto runners = members_.with_role(member_role::runner);
    const auto entries = members_.with_role(member_role::entry);
    const auto chosen =
        link_subset(settings_.entry, entries, runners, settings_.subset);
    shards_.post_to_all([chosen](shard& one)
                        { one.links().set_agents(chosen); });
    peers_.set_entries(entries);
    apply_drains();
    notify_leaving_agents();
}

void control_plane::apply_drains()
{
    std::map<std::string, reason> drains;
    for (const auto& [runner, row] : store_.current().rows_of(row_kind::drain))
        drains.emplace(runner, reason::operator_command);
    for (const auto& [name, one] : members_.members())
    {
        if (one.role == member_role::runner &&
            one.state == member_state::leaving)
            drains.emplace(name, reason::leaving);
    }
    shards_.post_to_all(
        [drains](shard& one)
        {
            one.links().set_drains(drains);
            one.schedule_dispatch();
        });
}

void control_plane::notify_leaving_agents()
{
    auto entries = peers_.reachable();
    entries.push_back(settings_.entry);
    for (const auto& [name, one] : members_.members())
    {
        const bool leaving = one.role == member_role::runner &&
                             one.state == member_state::leaving;
        // All entries rank the same entry first; only that one notifies the
        // agent.
        if (!leaving || notified_leaving_.contains(name) ||
            rendezvous_order(name, entries).front() != settings_.entry)
            continue;
        notified_leaving_.insert(name);
        agents_.drain(one, true, std::string(platform_list),
                      [this, name = name](bool notified)
                      {
                          if (!notified)
                              notified_leaving_.erase(name);
                      });
    }
    std::erase_if(notified_leaving_, [this](const std::string& name)
                  { return !members_.find(name); });
}

tuning control_plane::effective_settings() const
{
    return store_.current().settings(defaults_);
}

void control_plane::apply_configuration(const configuration& newer)
{
    if (newer.version() > 0)
        log_change(log_level::info, "configuration_in_force",
                   {{"version", newer.version()}});
    const auto values = newer.settings(defaults_);
    shards_.post_to_all(
        [newer, values](shard& one)
        {
            apply_tuning(one, values);
            apply_teams(one, newer, values);
            one.links().set_configuration(newer);
        });
    apply_drains();
    if (configuration_handler_)
        configuration_handler_(newer);
}

void control_plane::handle_peer_report(const std::string& entry,
                                       const peer_report& report)
{
    foreign_.on_peer_report(entry, report);
    if (report.config_version > store_.current().version())
        peers_.fetch_configuration(entry, store_.current(),
                                   [this](const configuration& newer)
                                   { store_.offer(newer); });
}

void control_plane::fetch_configuration_from_agents()
{
    if (is_fetching_configuration_)
        return;
    is_fetching_configuration_ = true;
    // Agents may have a newer configuration than this entry after a restart
    // while the store is unavailable.
    using agent_version = std::pair<std::uint64_t, std::string>;
    shards_.gather<agent_version>(
        [](shard& one) { return one.links().newest_agent(); },
        [this](const std::vector<agent_version>& all)
        {
            is_fetching_configuration_ = false;
            const auto newest_agent_version =
                *std::max_element(all.begin(), all.end());
            const auto* agent = members_.find(newest_agent_version.second);
            if (!agent ||
                newest_agent_version.first <= store_.current().version())
                return;
            agents_.fetch_configuration(*agent, store_.current(),
                                        [this](const configuration& newer)
                                        { store_.offer(newer); });
        });
}

double control_plane::quota_rate(const std::string& team) const
{
    const auto* row = store_.current().find(row_key(row_kind::quota, team));
    return row ? std::strtod(row->value.c_str(), nullptr)
               : std::max(effective_settings().default_team_quota, 0.0);
}

void control_plane::distribute_quota_shares()
{
    shards_.gather<shard_demand>(
        [](shard& one)
        { return one.jobs().quota().demand(process_clock().now()); },
        [this](const std::vector<shard_demand>& all)
        {
            std::map<std::string, double> own_demand;
            for (const auto& one : all)
            {
                for (const auto& [team, rate] : one)
                    own_demand[team] += rate;
            }
            peer_report report;
            report.incarnation = settings_.incarnation;
            report.config_version = store_.current().version();
            report.stopping = is_stopping_;
            report.holder = holder_;
            const std::size_t entries = peers_.reachable().size() + 1;
            for (const auto& [team, rate] : own_demand)
            {
                if (rate > demand_floor(quota_rate(team), entries))
                    report.demand.push_back({team, rate});
            }
            peers_.set_own_report(report);

            const auto peer_demand = peers_.demand();
            std::vector<std::map<std::string, double>> shares(all.size());
            for (std::size_t i = 0; i < all.size(); ++i)
            {
                for (const auto& [team, rate] : all[i])
                {
                    const auto known = peer_demand.find(team);
                    const double floor =
                        demand_floor(quota_rate(team), entries);
                    const double share = quota_share(own_demand[team],
                                                     known == peer_demand.end()
                                                         ? std::vector<double>{}
                                                         : known->second,
                                                     entries, floor);
                    const double shard_share =
                        quota_share(rate, {own_demand[team] - rate}, all.size(),
                                    floor / static_cast<double>(all.size()));
                    shares[i][team] = share * shard_share;
                }
            }
            const double fallback =
                1.0 / static_cast<double>(entries * all.size());
            for (std::size_t i = 0; i < all.size(); ++i)
            {
                shards_.at(i).post(
                    [local_shares = std::move(shares[i]), fallback](shard& one)
                    {
                        auto& quota = one.jobs().quota();
                        quota.set_default_share(fallback);
                        for (const auto& [team, share] : local_shares)
                            quota.set_share(team, share);
                    });
            }
        });
}

void control_plane::record_decision(decision_kind kind, reason why,
                                    std::string runner, std::string by,
                                    std::string detail)
{
    report_line line;
    line.wall = wall_nanoseconds();
    line.entry = settings_.entry;
    line.kind = kind;
    line.why = why;
    line.runner = std::move(runner);
    line.by = std::move(by);
    line.detail = std::move(detail);
    report_.add(std::move(line));
}

void control_plane::collect_notable_decisions()
{
    shards_.gather<night_report>([](shard& one)
                                 { return one.take_notable_decisions(); },
                                 [this](const std::vector<night_report>& all)
                                 {
                                     for (const auto& one : all)
                                         report_.merge(one);
                                 });
}

std::string control_plane::report_prefix(const std::string& entry,
                                         std::uint64_t incarnation)
{
    std::array<char, 20> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx",
                  static_cast<unsigned long long>(incarnation));
    return "night/" + entry + "." + hex.data() + ".";
}

void control_plane::write_report(std::function<void()> done)
{
    if (is_writing_report_ || report_.empty())
        return done();
    is_writing_report_ = true;
    const auto name = report_prefix(settings_.entry, settings_.incarnation) +
                      std::to_string(++last_report_number_);
    platform_.put_object(
        name, report_.take_batch(),
        [this, done = std::move(done)](platform_outcome outcome)
        {
            is_writing_report_ = false;
            // A failed batch is written again under a new name, even if
            // only the reply was lost; duplicate lines are harmless.
            if (outcome == platform_outcome::done)
                report_.written();
            else
                report_.failed();
            done();
        });
}

void control_plane::announce_stop()
{
    is_stopping_ = true;
    peer_report report;
    report.incarnation = settings_.incarnation;
    report.config_version = store_.current().version();
    report.stopping = true;
    report.holder = holder_;
    peers_.set_own_report(report);
    peers_.announce();
}

void control_plane::hand_over_answers(std::function<void()> done)
{
    const auto finish = [this, done = std::move(done)]
    {
        collect_notable_decisions();
        // Shards and control thread run posted work in order, so this second
        // query ends after the decisions have been collected.
        shards_.gather<bool>([](shard&) { return true; },
                             [this, done](const std::vector<bool>&)
                             { write_report(done); });
    };
    const auto others = peers_.reachable();
    if (others.empty())
        return finish();
    const auto holder =
        rendezvous_order(std::to_string(settings_.incarnation), others).front();
    using answers = std::vector<coordinator::kept_answer>;
    shards_.gather<answers>(
        [](shard& one) { return one.jobs().kept_answers(); },
        [this, holder, finish](std::vector<answers> all)
        {
            answers joined;
            for (auto& one : all)
                joined.insert(joined.end(),
                              std::make_move_iterator(one.begin()),
                              std::make_move_iterator(one.end()));
            const auto count = joined.size();
            send_answers(holder, std::move(joined),
                         [this, holder, count, finish]
                         {
                             holder_ = holder;
                             log_change(
                                 log_level::info, "answers_handed_over",
                                 {{"holder", holder}, {"answers", count}});
                             announce_stop();
                             finish();
                         });
        });
}

void control_plane::send_answers(const std::string& holder,
                                 std::vector<coordinator::kept_answer> answers,
                                 std::function<void()> done)
{
    std::vector<coordinator::kept_answer> batch;
    std::size_t bytes = 0;
    while (!answers.empty() && bytes < max_handover_message_bytes)
    {
        bytes += answers.back().answer.body.size();
        batch.push_back(std::move(answers.back()));
        answers.pop_back();
    }
    peers_.send_kept_answers(
        holder, settings_.incarnation, batch,
        [this, holder, remaining = std::move(answers),
         done = std::move(done)](bool arrived) mutable
        {
            if (!arrived)
                log_change(log_level::warning, "handover_failed",
                           {{"holder", holder}});
            if (!arrived || remaining.empty())
                return done();
            send_answers(holder, std::move(remaining), std::move(done));
        });
}

void control_plane::collect(metric_page& page) const
{
    platform_.collect(page);
    peers_.collect(page);
    foreign_.collect(page);
    page.gauge("configuration_version",
               "Version of the configuration that the entry applies",
               static_cast<double>(store_.current().version()));
    page.gauge("members", "Known VMs, without removed ones",
               static_cast<double>(members_.members().size()));
    page.gauge("report_lines",
               "Night report lines not yet written to the object store",
               static_cast<double>(report_.size()));
    page.counter("report_lines_summed_total",
                 "Night report lines merged into summaries while the object "
                 "store was unavailable",
                 static_cast<double>(report_.summarized_lines()));
}

} // namespace glenhollow
