#include "soak/fault_plan.hpp"

#include "glenhollow/core/random.hpp"

#include <sstream>

namespace glenhollow::soak
{

namespace
{

/// From the engine's own bits, so that a seed means the same everywhere.
double drawn(random_engine& engine)
{
    constexpr double range = 9007199254740992.0; // 2^53
    return static_cast<double>(engine() >> 11U) / range;
}

duration between(random_engine& engine, duration least, duration most)
{
    return least + milliseconds{static_cast<std::int64_t>(
                       drawn(engine) *
                       std::chrono::duration<double, std::milli>(most - least)
                           .count())};
}

std::uint32_t targets_of(fault_kind kind, const plan_settings& settings)
{
    switch (group_of(kind))
    {
    case fault_group::entry:
        return settings.entries;
    case fault_group::agent:
    case fault_group::backend:
        return settings.agents;
    case fault_group::store:
        return 1;
    case fault_group::link:
        break;
    }
    return settings.links();
}

} // namespace

fault_group group_of(fault_kind kind)
{
    if (kind == fault_kind::backend_pause)
        return fault_group::backend;
    if (kind <= fault_kind::entry_stop)
        return fault_group::entry;
    if (kind <= fault_kind::agent_stop)
        return fault_group::agent;
    if (kind < fault_kind::store_slow)
        return fault_group::backend;
    return kind < fault_kind::link_slow ? fault_group::store
                                        : fault_group::link;
}

std::vector<planned_fault> plan_faults(const plan_settings& settings)
{
    random_engine engine(settings.seed);
    std::vector<planned_fault> plan;
    auto at = settings.calm;
    while (true)
    {
        planned_fault fault;
        fault.kind = static_cast<fault_kind>(engine() % drawn_kinds);
        const auto targets = targets_of(fault.kind, settings);
        fault.target = static_cast<std::uint32_t>(engine() % targets);
        fault.at = at;
        fault.lasts = between(engine, milliseconds{300}, seconds{4});
        fault.share = 0.1 + 0.5 * drawn(engine);
        at += between(engine, duration{0}, 2 * settings.apart);
        if (fault.at + fault.lasts >= settings.length)
            return plan;
        plan.push_back(fault);
    }
}

std::string to_text(const std::vector<planned_fault>& plan)
{
    const auto ms = [](duration time)
    { return std::chrono::duration_cast<milliseconds>(time).count(); };
    std::ostringstream out;
    for (const auto& fault : plan)
        out << ms(fault.at) << " " << to_name(fault.kind) << " " << fault.target
            << " " << ms(fault.lasts) << " " << fault.share << "\n";
    return out.str();
}

result<std::vector<planned_fault>> plan_from(const std::string& text,
                                             const plan_settings& settings)
{
    std::vector<planned_fault> plan;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line))
    {
        if (line.empty() || line.front() == '#')
            continue;
        std::istringstream fields(line);
        std::int64_t at = 0;
        std::int64_t lasts = 0;
        std::string name;
        planned_fault fault;
        fields >> at >> name >> fault.target >> lasts >> fault.share;
        const auto kind = from_name<fault_kind>(name);
        if (!fields || !kind || fault.target >= targets_of(*kind, settings))
            return failure{"no fault: '" + line + "'"};
        fault.kind = *kind;
        fault.at = milliseconds{at};
        fault.lasts = milliseconds{lasts};
        plan.push_back(fault);
    }
    return plan;
}

} // namespace glenhollow::soak
