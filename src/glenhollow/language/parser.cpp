#include "glenhollow/language/parser.hpp"

#include <boost/json/parse.hpp>
#include <boost/spirit/home/x3.hpp>

#include <cmath>

namespace glenhollow
{

namespace x3 = boost::spirit::x3;

namespace
{

using iterator = std::string_view::const_iterator;

/// Tags the rules, whose names are what errors say was expected.
struct rule_tag;

/// Ten years: longer ones could not be counted in nanoseconds.
constexpr double longest_seconds = 315'360'000;

const auto word_letter = x3::char_("a-zA-Z0-9_.-");

template <class Attribute>
auto named(const char* name)
{
    return x3::rule<rule_tag, Attribute>{name};
}

auto keyword(const char* text)
{
    return x3::rule<rule_tag, x3::unused_type>{text} =
               x3::lexeme[x3::lit(text) >> !word_letter];
}

template <class Enum>
x3::symbols<Enum> symbols_of()
{
    x3::symbols<Enum> table;
    const auto& names = name_table<Enum>::names;
    for (std::size_t i = 0; i < names.size(); ++i)
        table.add(std::string(names[i]), static_cast<Enum>(i));
    return table;
}

/// Builds one statement while the grammar matches.
class builder
{
    /// An action that makes the statement from what was matched.
    template <class Make>
    auto make(Make make)
    {
        return [this, make](auto&) { built_ = make(); };
    }

public:
    /// @return Whether the whole text is a statement.
    bool run(iterator& at, iterator end, dialect allowed)
    {
        const auto set = [](auto& target)
        { return [&target](auto& ctx) { target = x3::_attr(ctx); }; };

        // Keeps what a rule matched. The action is inside the named rule, so
        // that errors tell the name.
        const auto leaf = [&set](const auto& rule, auto& target)
        { return named<x3::unused_type>(rule.name) = rule[set(target)]; };

        // Words and numbers.
        const auto name = named<std::string>("a name") =
            x3::lexeme[+x3::char_("a-zA-Z0-9_-")];
        const auto id = named<std::string>("a submission id") =
            x3::lexeme[+word_letter];
        const auto change_id = named<std::string>("a change id") =
            x3::lexeme[+word_letter];
        const auto value = named<std::string>("a value") =
            x3::lexeme['"' >> *(x3::char_ - '"') >> '"'] |
            x3::lexeme[+x3::char_("a-zA-Z0-9_.:/+-")];
        const auto count = named<std::size_t>("a whole number") =
            x3::lexeme[x3::ulong_ >> !word_letter];
        // The library reads "nan" and "inf" as numbers, too.
        const auto finite = [](auto& ctx)
        {
            x3::_val(ctx) = x3::_attr(ctx);
            x3::_pass(ctx) = std::isfinite(x3::_attr(ctx));
        };
        const auto number = named<double>("a number") = x3::double_[finite];
        const auto json_text =
            named<std::string>("a JSON value up to the end of the line") =
                x3::lexeme[+x3::char_];
        const auto units = unit_symbols();
        const auto set_unit = [this](auto& ctx)
        {
            unit_ = x3::_attr(ctx);
            const double length = amount_ * unit_;
            x3::_pass(ctx) = length >= 0 && length <= longest_seconds;
        };
        const auto duration_text =
            named<x3::unused_type>("a duration such as 500ms, 5s, 10m or 2h") =
                x3::lexeme[x3::double_[set(amount_)] >> units[set_unit] >>
                           !word_letter];
        const auto task_of_id =
            named<x3::unused_type>("a task: <submission id>/<n>") =
                x3::lexeme[(+word_letter)[set(text_)] >> '/' >>
                           x3::uint_[set(task_)] >> !word_letter];

        // show
        const auto operators = symbols_of<comparison>();
        const auto op = named<comparison>("one of = != <= >= < >") = operators;
        const auto add = [this](auto&) { where_.push_back(condition_); };
        const auto one_condition =
            (leaf(name, condition_.field) > leaf(op, condition_.op) >
             leaf(value, condition_.value)) > x3::eps[add];
        const auto where =
            -(keyword("where") > (one_condition % keyword("and")));
        const auto targets = symbols_of<show_target>();
        const auto target =
            named<show_target>("runners, entries, teams, jobs, configuration "
                               "or settings") =
                x3::lexeme[targets >> !word_letter];
        const auto shown = named<x3::unused_type>(
            "runners, entries, teams, jobs, "
            "configuration, settings or change") =
            (keyword("change") > leaf(change_id, text_)) >
                x3::eps[make([this] { return show_change_statement{text_}; })] |
            (leaf(target, show_target_) > where) >
                x3::eps[make(
                    [this] {
                        return show_statement{show_target_, where_};
                    })];
        const auto show = keyword("show") > shown;

        // why
        const auto why_task =
            keyword("task") > task_of_id >
            x3::eps[make(
                [this] {
                    return why_statement{why_target::task, text_, task_};
                })];
        const auto why_job_of = [&](const char* word, why_target kind)
        {
            return keyword(word) > leaf(id, text_) >
                   x3::eps[make(
                       [this, kind] {
                           return why_statement{kind, text_, 0};
                       })];
        };
        const auto why_drained =
            keyword("drained") > leaf(name, text_) >
            x3::eps[make(
                [this] {
                    return why_statement{why_target::drained, text_, 0};
                })];
        const auto why_waste =
            keyword("waste") >
            x3::eps[make([] { return why_waste_statement{}; })] >
            -(keyword("since") > duration_text >
              x3::eps[make([this] { return why_waste_statement{length()}; })]);
        const auto why_refused = why_job_of("refused", why_target::refused);
        const auto why_failed = why_job_of("failed", why_target::failed);
        const auto why_any =
            named<x3::unused_type>("task, refused, failed, drained or waste") =
                why_task | why_refused | why_failed | why_drained | why_waste;
        const auto why = keyword("why") > why_any;

        // set, unset
        const auto team_change = named<x3::unused_type>(
            "quota, weight or token") =
            (keyword("quota") > leaf(number, number_) > x3::lit("tasks/s")) >
                x3::eps[make(
                    [this] {
                        return set_quota_statement{name_, number_};
                    })] |
            (keyword("weight") > leaf(number, number_)) >
                x3::eps[make(
                    [this] {
                        return set_weight_statement{name_, number_};
                    })] |
            (keyword("token") > leaf(value, text_)) >
                x3::eps[make(
                    [this] {
                        return set_token_statement{name_, text_};
                    })];
        const auto set_what =
            named<x3::unused_type>("team or the name of a setting") =
                (keyword("team") > leaf(name, name_) > team_change) |
                (leaf(name, name_) > leaf(value, text_)) >
                    x3::eps[make(
                        [this] {
                            return set_statement{name_, text_};
                        })];
        const auto set_any = keyword("set") > set_what;
        const auto unset =
            keyword("unset") > keyword("team") > leaf(name, name_) >
            x3::eps[make([this] { return unset_team_statement{name_}; })];

        // act
        const auto drain = keyword("drain") > keyword("runner") >
                           leaf(name, name_) >
                           x3::eps[make(
                               [this] {
                                   return drain_statement{name_, true};
                               })];
        const auto undrain = keyword("undrain") > keyword("runner") >
                             leaf(name, name_) >
                             x3::eps[make(
                                 [this] {
                                     return drain_statement{name_, false};
                                 })];
        const auto job_body = keyword("team") > leaf(name, name_) >
                              keyword("tasks") > leaf(count, count_) >
                              keyword("payload") > leaf(json_text, text_);
        const auto create =
            (keyword("create") > keyword("job") > job_body) >
            x3::eps[make(
                [this] {
                    return create_job_statement{name_, count_, text_};
                })];
        const auto cancel =
            keyword("cancel") > keyword("job") > leaf(id, text_) >
            x3::eps[make([this] { return cancel_statement{text_}; })];
        const auto help =
            keyword("help") > x3::eps[make([] { return help_statement{}; })];
        const auto operators_part = show | why | set_any | unset | drain |
                                    undrain | create | cancel | help;

        // What only scenarios do.
        const auto actions = symbols_of<process_action>();
        const auto process =
            (x3::lexeme[actions >> !word_letter][set(action_)] >
             leaf(name, name_)) >
            x3::eps[make(
                [this] {
                    return process_statement{action_, name_};
                })];
        const auto deploy =
            (keyword("deploy") > keyword("entries") > leaf(count, count_) >
             keyword("runners") > leaf(count, second_)) >
            x3::eps[make(
                [this] {
                    return deploy_statement{count_, second_};
                })];
        const auto fault =
            (keyword("fault") > leaf(name, name_) > leaf(json_text, text_)) >
            x3::eps[make(
                [this] {
                    return fault_statement{name_, text_};
                })];
        const auto use = (keyword("use") > leaf(name, name_)) >
                         x3::eps[make([this] { return use_statement{name_}; })];
        const auto submit =
            (keyword("submit") > leaf(name, job_) > job_body) >
            x3::eps[make(
                [this] {
                    return submit_statement{job_, name_, count_, text_};
                })];
        const auto resubmit =
            (keyword("resubmit") > leaf(name, job_)) >
            x3::eps[make([this] { return resubmit_statement{job_}; })];
        const auto within = keyword("within") > duration_text;
        const auto expect_job =
            (keyword("job") > leaf(name, job_) > leaf(name, text_) > within) >
            x3::eps[make(
                [this] {
                    return expect_job_statement{job_, text_, length()};
                })];
        const auto expect_rows =
            (leaf(count, count_) > leaf(target, show_target_) > where >
             within) >
            x3::eps[make(
                [this] {
                    return expect_rows_statement{
                        count_, {show_target_, where_}, length()};
                })];
        const auto expect_once =
            (keyword("no") > keyword("double") > keyword("start")) >
            x3::eps[make([] { return expect_once_statement{}; })];
        const auto expected =
            named<x3::unused_type>("job, no or a number of rows") =
                expect_job | expect_once | expect_rows;
        const auto expect = keyword("expect") > expected;
        const auto scenario_part =
            process | deploy | fault | use | submit | resubmit | expect;

        const auto first_word = named<x3::unused_type>(
            "show, why, set, unset, drain, undrain, create, cancel or "
            "help") = operators_part;
        const auto first_word_of_scenario = named<x3::unused_type>(
            "a statement or start, stop, kill, pause, resume, deploy, "
            "fault, use, submit, resubmit or expect") =
            operators_part | scenario_part;
        const auto end_of_statement =
            named<x3::unused_type>("the end of the statement") =
                x3::omit[-x3::lit(';')] >> x3::eoi;
        if (allowed == dialect::operators)
            return x3::phrase_parse(at, end,
                                    x3::eps > first_word > end_of_statement,
                                    x3::ascii::space);
        return x3::phrase_parse(
            at, end, x3::eps > first_word_of_scenario > end_of_statement,
            x3::ascii::space);
    }

    /// @return What was built.
    const statement& built() const { return built_; }

private:
    static x3::symbols<double> unit_symbols()
    {
        x3::symbols<double> units;
        units.add("ms", 1e-3)("s", 1.0)("m", 60.0)("h", 3600.0);
        return units;
    }

    duration length() const
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(amount_ * unit_));
    }

    statement built_ = help_statement{}; ///< The result.
    std::string name_;                   ///< Parts of the statement matched
    std::string text_;                   ///< so far, each by its kind.
    std::string job_;
    std::size_t count_ = 0;
    std::size_t second_ = 0;
    std::uint32_t task_ = 0;
    double number_ = 0;
    double amount_ = 0;
    double unit_ = 1;
    show_target show_target_ = show_target::runners;
    process_action action_ = process_action::start;
    condition condition_;
    std::vector<condition> where_;
};

/// @return What is wrong with the JSON text of a statement, if it has one.
std::string json_error(const statement& parsed)
{
    const std::string* text = nullptr;
    if (const auto* create = std::get_if<create_job_statement>(&parsed))
        text = &create->payload;
    else if (const auto* submit = std::get_if<submit_statement>(&parsed))
        text = &submit->payload;
    else if (const auto* fault = std::get_if<fault_statement>(&parsed))
        text = &fault->json;
    if (!text)
        return {};
    boost::system::error_code ec;
    boost::json::parse(*text, ec);
    return ec ? "a JSON value (" + ec.message() + ")" : "";
}

} // namespace

parse_result parse_statement(std::string_view text, dialect allowed)
{
    builder build;
    auto at = text.begin();
    try
    {
        build.run(at, text.end(), allowed);
    }
    catch (const x3::expectation_failure<iterator>& failed)
    {
        auto where = failed.where();
        while (where != text.end() && (*where == ' ' || *where == '\t'))
            ++where;
        return parse_error{static_cast<std::size_t>(where - text.begin()) + 1,
                           failed.which()};
    }
    const auto wrong = json_error(build.built());
    if (!wrong.empty())
    {
        const auto brace = text.find("payload");
        const auto column = brace == std::string_view::npos
                                ? text.size()
                                : brace + std::string_view("payload ").size();
        return parse_error{column + 1, wrong};
    }
    return build.built();
}

std::string_view statement_help()
{
    return "show runners|entries|teams|jobs|configuration|settings "
           "[where <field> <op> <value> [and ...]]\n"
           "show change <id>\n"
           "why task <id>/<n>\n"
           "why refused <id>\n"
           "why failed <id>\n"
           "why drained <vm>\n"
           "why waste [since <duration>]\n"
           "set team <name> quota <n> tasks/s\n"
           "set team <name> weight <n>\n"
           "set team <name> token <text>\n"
           "unset team <name>\n"
           "set <key> <value>\n"
           "drain runner <name>\n"
           "undrain runner <name>\n"
           "create job team <name> tasks <n> payload <json>\n"
           "cancel job <id>\n"
           "help\n";
}

} // namespace glenhollow
