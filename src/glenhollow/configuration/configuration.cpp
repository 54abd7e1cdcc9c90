#include "glenhollow/configuration/configuration.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace glenhollow
{

namespace json = boost::json;

std::string row_key(row_kind kind, std::string_view name)
{
    return std::string(to_name(kind)) + "." + std::string(name);
}

configuration configuration::with(const configuration_change& change) const
{
    configuration next = *this;
    ++next.version_;
    for (const auto& [key, value] : change.rows)
        next.rows_[key] = {value, next.version_, change.by, change.when};
    return next;
}

const configuration_row* configuration::find(const std::string& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() || found->second.value.empty() ? nullptr
                                                               : &found->second;
}

std::vector<std::pair<std::string, configuration_row>>
configuration::rows_of(row_kind kind) const
{
    std::vector<std::pair<std::string, configuration_row>> found;
    const std::string prefix = row_key(kind, "");
    for (auto row = rows_.lower_bound(prefix);
         row != rows_.end() && row->first.starts_with(prefix); ++row)
    {
        if (!row->second.value.empty())
            found.emplace_back(row->first.substr(prefix.size()), row->second);
    }
    return found;
}

tuning configuration::settings(const tuning& defaults) const
{
    tuning values = defaults;
    for (const auto& [name, row] : rows_of(row_kind::setting))
    {
        const auto* setting = find_setting(name);
        // A value written by another program version may be invalid here; the
        // default then applies.
        if (setting)
            static_cast<void>(set_value(*setting, row.value, values));
    }
    return values;
}

std::vector<std::string>
configuration::changed_since(std::uint64_t version) const
{
    std::vector<std::string> keys;
    for (const auto& [key, row] : rows_)
    {
        if (row.version > version)
            keys.push_back(key);
    }
    return keys;
}

void configuration::merge_row(const std::string& key, configuration_row row)
{
    auto& known = rows_[key];
    if (row.version >= known.version)
        known = std::move(row);
}

std::string configuration::to_json() const
{
    json::object rows;
    for (const auto& [key, row] : rows_)
        rows[key] = json::object{{"value", row.value},
                                 {"version", row.version},
                                 {"by", row.by},
                                 {"when", row.when}};
    return json::serialize(
        json::object{{"version", version_}, {"rows", std::move(rows)}});
}

result<configuration> configuration::from_json(const std::string& text)
{
    boost::system::error_code ec;
    const auto parsed = json::parse(text, ec);
    if (ec)
        return failure{"the configuration is not JSON: " + ec.message()};
    try
    {
        configuration made;
        made.version_ = parsed.at("version").to_number<std::uint64_t>();
        for (const auto& field : parsed.at("rows").as_object())
        {
            const auto& row = field.value();
            made.rows_[std::string(field.key())] = {
                row.at("value").as_string().c_str(),
                row.at("version").to_number<std::uint64_t>(),
                row.at("by").as_string().c_str(),
                row.at("when").to_number<std::int64_t>()};
        }
        return made;
    }
    catch (const std::exception& error)
    {
        return failure{std::string("the configuration is not whole: ") +
                       error.what()};
    }
}

} // namespace glenhollow
