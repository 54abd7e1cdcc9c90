#include "soak/standin_knobs.hpp"

#include "platform/json_body.hpp"

namespace glenhollow::soak
{

namespace json = boost::json;

namespace
{

std::int64_t time_of(const json::object& run, std::string_view name)
{
    return static_cast<std::int64_t>(platform::unsigned_field(run, name));
}

} // namespace

json::object knobs_of(const std::list<planned_fault>& active)
{
    constexpr double slow_ms = 400;
    json::object body;
    for (const auto& fault : active)
    {
        switch (fault.kind)
        {
        case fault_kind::backend_slow:
        case fault_kind::store_slow:
            body["delay_ms"] = slow_ms * fault.share;
            break;
        case fault_kind::backend_lose:
        case fault_kind::store_lose:
            body["lose_answers"] = fault.share;
            break;
        case fault_kind::backend_late:
        case fault_kind::store_late:
            body["late"] = fault.share;
            break;
        case fault_kind::backend_fail:
            body["fail"] = fault.share;
            break;
        case fault_kind::backend_refuse:
            body["refuse"] = 1.0;
            break;
        case fault_kind::backend_restart:
            body["ended"] = true;
            break;
        case fault_kind::backend_stranger:
            body["stranger"] = 1.0;
            break;
        case fault_kind::backend_leave:
            body["leaving"] = true;
            break;
        case fault_kind::store_down:
            body["down"] = 1.0;
            break;
        case fault_kind::store_refuse:
            body["too_many"] = fault.share;
            break;
        default:
            break;
        }
    }
    return body;
}

std::uint64_t misread(const std::string& body)
{
    return platform::unsigned_field(platform::parse_object(body), "misread");
}

std::vector<seen_run> runs_of(const std::string& backend,
                              const std::string& body)
{
    std::vector<seen_run> out;
    const auto whole = platform::parse_object(body);
    const auto* list = whole.if_contains("runs");
    if (list == nullptr || !list->is_array())
        return out;
    for (const auto& one : list->get_array())
    {
        const auto& in = one.as_object();
        seen_run run;
        run.task = platform::string_field(in, "task");
        run.run = platform::unsigned_field(in, "run");
        run.spec = platform::string_field(in, "spec");
        run.backend = backend;
        run.begin = instant{time_of(in, "begin")};
        run.how = platform::string_field(in, "how");
        if (!run.how.empty())
            run.end = instant{time_of(in, "end")};
        run.noted = instant{time_of(in, "noted")};
        run.lapsed_before_note = platform::bool_field(in, "lapsed_before_note");
        run.left = platform::bool_field(in, "left");
        run.late = platform::bool_field(in, "late");
        out.push_back(std::move(run));
    }
    return out;
}

} // namespace glenhollow::soak
