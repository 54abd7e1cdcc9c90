#include "glenhollow/entry/row_table.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstdlib>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

std::string to_text(const json::value& value)
{
    return value.is_string() ? std::string(value.get_string())
                             : json::serialize(value);
}

bool satisfies(std::partial_ordering order, comparison op)
{
    switch (op)
    {
    case comparison::equal:
        return std::is_eq(order);
    case comparison::not_equal:
        return std::is_neq(order);
    case comparison::less_equal:
        return std::is_lteq(order);
    case comparison::greater_equal:
        return std::is_gteq(order);
    case comparison::less:
        return std::is_lt(order);
    case comparison::greater:
        break;
    }
    return std::is_gt(order);
}

} // namespace

json::value rounded(double number, int digits)
{
    const double scale = std::pow(10.0, digits);
    const double value = std::round(number * scale) / scale;
    if (value == std::floor(value) && std::abs(value) < 1e15)
        return static_cast<std::int64_t>(value);
    return value;
}

namespace
{

json::object* find_row(json::array& rows, const std::string& key,
                       const json::value& name)
{
    for (auto& row : rows)
    {
        const auto* existing = row.get_object().if_contains(key);
        if (existing && *existing == name)
            return &row.get_object();
    }
    return nullptr;
}

} // namespace

bool matches(const json::value& field, comparison op, const std::string& value)
{
    if (field.is_number())
    {
        char* end = nullptr;
        const double number = std::strtod(value.c_str(), &end);
        if (!value.empty() && *end == '\0')
            return satisfies(field.to_number<double>() <=> number, op);
    }
    return satisfies(to_text(field) <=> value, op);
}

void row_table::merge(const job_answer& answer, const row_merge_rules& rules)
{
    boost::system::error_code ec;
    auto parsed = json::parse(answer.body, ec);
    if (ec || answer.is_problem() || !parsed.is_object())
        return;
    auto* rows = parsed.get_object().if_contains("rows");
    if (!rows || !rows->is_array())
        return;
    for (auto& peer_row : rows->get_array())
    {
        if (!peer_row.is_object())
            continue;
        auto& row = peer_row.get_object();
        const auto* name = row.if_contains(rules.key);
        auto* existing = name ? find_row(rows_, rules.key, *name) : nullptr;
        if (!existing)
        {
            if (!rules.known_rows_only)
                rows_.push_back(std::move(row));
            continue;
        }
        for (const auto& field : rules.summed_fields)
        {
            auto* to = existing->if_contains(field);
            const auto* from = row.if_contains(field);
            if (!to || !from || !to->is_number() || !from->is_number())
                continue;
            if (to->is_double() || from->is_double())
                *to = rounded(
                    to->to_number<double>() + from->to_number<double>(), 2);
            else
                *to = to->to_number<std::int64_t>() +
                      from->to_number<std::int64_t>();
        }
    }
}

api_result<void> row_table::filter(const std::vector<condition>& where)
{
    for (const auto& one : where)
    {
        const bool known =
            rows_.empty() ||
            std::any_of(rows_.begin(), rows_.end(),
                        [&](const auto& row)
                        { return row.get_object().contains(one.field); });
        if (!known)
        {
            std::string fields;
            for (const auto& field : rows_.front().get_object())
                fields.append(fields.empty() ? "" : ", ").append(field.key());
            return api_problem{400, reason::malformed,
                               "rows have no field '" + one.field +
                                   "'; they have " + fields};
        }
        json::array kept;
        for (auto& row : rows_)
        {
            const auto* field = row.get_object().if_contains(one.field);
            if (field && matches(*field, one.op, one.value))
                kept.push_back(std::move(row));
        }
        rows_ = std::move(kept);
    }
    return outcome::success();
}

void row_table::sort_by(const std::string& key)
{
    const auto text = [&key](const json::value& row)
    {
        const auto* field = row.get_object().if_contains(key);
        return field ? to_text(*field) : std::string();
    };
    std::stable_sort(rows_.begin(), rows_.end(),
                     [&](const auto& a, const auto& b)
                     { return text(a) < text(b); });
}

job_answer row_table::to_answer() const
{
    return {
        200, reason::none, {}, json::serialize(json::object{{"rows", rows_}})};
}

} // namespace glenhollow
