#include "glenhollow/client/operator_client.hpp"

#include "glenhollow/core/names.hpp"
#include "glenhollow/http/blocking_call.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <map>

namespace glenhollow
{

namespace json = boost::json;

namespace
{

std::string cell_text(const json::value& value)
{
    if (value.is_string())
        return value.get_string().c_str();
    return value.is_null() ? "-" : json::serialize(value);
}

bool is_unknown_change(const json::value& parsed)
{
    const auto* object = parsed.if_object();
    const auto* rows = object ? object->if_contains("rows") : nullptr;
    if (!rows || !rows->is_array() || rows->get_array().empty())
        return false;
    const auto* row = rows->get_array().front().if_object();
    const auto* state = row ? row->if_contains("state") : nullptr;
    return row && row->contains("change") && state && state->is_string() &&
           state->get_string() == "unknown";
}

client_exit exit_of(const http_response& response)
{
    boost::system::error_code ec;
    const auto parsed = json::parse(response.body, ec);
    if (ec)
        return client_exit::unreachable;
    constexpr unsigned bad_request = 400;
    if (response.status == bad_request)
        return client_exit::usage;
    if (response.status >= bad_request)
        return client_exit::refused;
    return is_unknown_change(parsed) ? client_exit::unknown : client_exit::ok;
}

} // namespace

operator_answer operator_client::run(const std::string& statement) const
{
    operator_answer answer;
    for (const auto& entry : settings_.entries)
    {
        http_request request;
        request.method = "POST";
        request.target = "/v1/operator";
        request.headers = {{"Authorization", "Bearer " + settings_.token}};
        request.body = statement;
        const auto end =
            call_and_wait(entry, std::move(request), settings_.timeout);
        if (end.answered)
            return {exit_of(end.response), end.response.body};
        answer.body = json::serialize(
            json::object{{"title", "no answer"},
                         {"detail", entry.to_string() + ": " + end.error}});
        if (verdict_of_silence(end.progress) != verdict::not_run)
            return answer;
    }
    return answer;
}

std::string to_table(const std::string& body)
{
    boost::system::error_code ec;
    const auto parsed = json::parse(body, ec);
    const auto* object = ec ? nullptr : parsed.if_object();
    if (!object)
        return body + "\n";
    const auto* rows = object->if_contains("rows");
    if (!rows || !rows->is_array())
    {
        const auto* detail = object->if_contains("detail");
        return (detail ? cell_text(*detail) : body) + "\n";
    }
    // Columns in the order in which rows first name them.
    std::vector<std::string> columns;
    std::map<std::string, std::size_t> widths;
    for (const auto& row : rows->get_array())
    {
        for (const auto& field : row.get_object())
        {
            const std::string name(field.key());
            if (!widths.contains(name))
                columns.push_back(name);
            widths[name] = std::max(
                {widths[name], name.size(), cell_text(field.value()).size()});
        }
    }
    std::string text;
    const auto add_line = [&](const auto& cell_of)
    {
        std::string line;
        for (const auto& column : columns)
        {
            std::string cell = cell_of(column);
            cell.resize(std::max(cell.size(), widths[column]), ' ');
            line += cell + "  ";
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    };
    if (!columns.empty())
        add_line([](const std::string& column) { return column; });
    for (const auto& row : rows->get_array())
    {
        add_line(
            [&row](const std::string& column)
            {
                const auto* cell = row.get_object().if_contains(column);
                return cell ? cell_text(*cell) : std::string();
            });
    }
    const auto count = rows->get_array().size();
    return text + "(" + std::to_string(count) +
           (count == 1 ? " row)\n" : " rows)\n");
}

} // namespace glenhollow
