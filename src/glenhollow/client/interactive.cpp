#include "glenhollow/client/interactive.hpp"

#include "glenhollow/configuration/tuning.hpp"

#include <editline/readline.h>

#include <cstdlib>
#include <cstring>
#include <memory>
#include <vector>

namespace glenhollow
{

namespace
{

struct free_deleter
{
    void operator()(char* text) const { std::free(text); }
};

const std::vector<std::string>& words()
{
    static const std::vector<std::string> all = []
    {
        std::vector<std::string> list{
            "show",    "why",     "set",     "unset",    "drain",
            "undrain", "create",  "cancel",  "help",     "runners",
            "entries", "teams",   "jobs",    "settings", "configuration",
            "change",  "where",   "and",     "task",     "refused",
            "failed",  "drained", "waste",   "since",    "team",
            "quota",   "weight",  "token",   "tasks/s",  "runner",
            "job",     "tasks",   "payload", "quit"};
        for (const auto& setting : setting_table())
            list.emplace_back(setting.name);
        return list;
    }();
    return all;
}

/// Gives the next word that begins with the text; state 0 begins anew.
char* next_word(const char* text, int state)
{
    static std::size_t place = 0;
    if (state == 0)
        place = 0;
    while (place < words().size())
    {
        const auto& word = words()[place++];
        if (word.starts_with(text))
            return ::strdup(word.c_str());
    }
    return nullptr;
}

} // namespace

void run_interactive(const std::function<void(const std::string&)>& run)
{
    rl_readline_name = "glenhollow";
    rl_completion_entry_function = next_word;
    using_history();
    while (true)
    {
        const std::unique_ptr<char, free_deleter> line(
            readline("glenhollow> "));
        if (!line)
            return;
        const std::string statement(line.get());
        if (statement.empty())
            continue;
        if (statement == "quit" || statement == "exit")
            return;
        // A token that was typed is not kept in the history.
        if (statement.find(" token ") == std::string::npos)
            add_history(line.get());
        run(statement);
    }
}

} // namespace glenhollow
