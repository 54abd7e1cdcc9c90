#include "glenhollow/load/distribution.hpp"

#include <cmath>
#include <cstdlib>
#include <map>
#include <sstream>
#include <vector>

namespace glenhollow
{

namespace
{

constexpr std::string_view allowed =
    "N, uniform:A,B, loguniform:A,B, exp:MEAN, choice:V@P,V@P,..., "
    "alpenfluss or kiraz";

/// Most tasks short, a few of several seconds, as the two users have them.
const std::map<std::string, std::string, std::less<>> mixes{
    // Checks and matchings, some renominations of several seconds.
    {"alpenfluss", "choice:50@0.4,150@0.3,400@0.2,1000@0.08,3000@0.02"},
    // Residual checks, full quotes, pre-screens.
    {"kiraz", "choice:50@0.5,100@0.2,250@0.2,600@0.08,2000@0.02"}};

bool parse_number(const std::string& text, double& value)
{
    char* end = nullptr;
    value = std::strtod(text.c_str(), &end);
    return !text.empty() && *end == '\0' && value >= 0;
}

std::vector<std::string> split(const std::string& text, char at)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    std::string part;
    while (std::getline(in, part, at))
        parts.push_back(part);
    return parts;
}

/// One value with its share.
struct weighted_value
{
    double value = 0; ///< What is drawn.
    double share = 0; ///< How often, in relation to the others.
};

bool parse_choice(const std::string& text, std::vector<weighted_value>& values)
{
    for (const auto& part : split(text, ','))
    {
        const auto pair = split(part, '@');
        weighted_value one;
        if (pair.size() != 2 || !parse_number(pair[0], one.value) ||
            !parse_number(pair[1], one.share))
            return false;
        values.push_back(one);
    }
    return !values.empty();
}

double draw_choice(const std::vector<weighted_value>& values,
                   random_engine& random)
{
    double total = 0;
    for (const auto& one : values)
        total += one.share;
    double left = uniform(random) * total;
    for (const auto& one : values)
    {
        left -= one.share;
        if (left < 0)
            return one.value;
    }
    return values.back().value;
}

} // namespace

result<distribution> distribution::parse(std::string_view text)
{
    const auto mix = mixes.find(text);
    if (mix != mixes.end())
        return parse(mix->second);
    const failure wrong{"'" + std::string(text) + "' must be one of " +
                        std::string(allowed)};
    distribution made;
    double value = 0;
    if (parse_number(std::string(text), value))
    {
        made.draw_ = [value](random_engine&) { return value; };
        return made;
    }
    const auto colon = text.find(':');
    if (colon == std::string_view::npos)
        return wrong;
    const std::string shape(text.substr(0, colon));
    const std::string rest(text.substr(colon + 1));
    if (shape == "choice")
    {
        std::vector<weighted_value> values;
        if (!parse_choice(rest, values))
            return wrong;
        made.draw_ = [values](random_engine& random)
        { return draw_choice(values, random); };
        return made;
    }
    const auto numbers = split(rest, ',');
    double a = 0;
    double b = 0;
    const bool one = numbers.size() == 1 && parse_number(numbers[0], a);
    const bool two = numbers.size() == 2 && parse_number(numbers[0], a) &&
                     parse_number(numbers[1], b) && a <= b;
    if (shape == "exp" && one)
        made.draw_ = [a](random_engine& random)
        { return -a * std::log(1 - uniform(random)); };
    else if (shape == "uniform" && two)
        made.draw_ = [a, b](random_engine& random)
        { return a + (b - a) * uniform(random); };
    else if (shape == "loguniform" && two && a > 0)
        made.draw_ = [a, b](random_engine& random)
        { return a * std::pow(b / a, uniform(random)); };
    else
        return wrong;
    return made;
}

} // namespace glenhollow
