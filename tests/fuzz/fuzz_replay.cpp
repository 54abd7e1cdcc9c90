// Replays the corpus and changes of it that a seed picks, so that the verdict
// is the same on each run: fuzz_replay --corpus FOLDER [--changes N].
#include "fuzz/fuzz_target.hpp"

#include "glenhollow/command_line/command_line.hpp"
#include "glenhollow/core/random.hpp"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <new>

namespace
{

/// What is allocated, so that memory is held against an input's length.
struct memory_account
{
    std::size_t live = 0;  ///< Bytes.
    std::size_t most = 0;  ///< Bytes at once since the last reset.
    std::size_t calls = 0; ///< Allocations since the last reset.
};

memory_account memory;

} // namespace

// Replaced for this program, which has one thread.
void* operator new(std::size_t size)
{
    void* got = std::malloc(size == 0 ? 1 : size);
    if (got == nullptr)
        throw std::bad_alloc();
    memory.live += ::malloc_usable_size(got);
    memory.most = std::max(memory.most, memory.live);
    ++memory.calls;
    return got;
}

void operator delete(void* freed) noexcept
{
    if (freed != nullptr)
        memory.live -= ::malloc_usable_size(freed);
    std::free(freed);
}

void operator delete(void* freed, std::size_t) noexcept
{
    operator delete(freed);
}

namespace
{

using namespace glenhollow;
using namespace glenhollow::fuzz;

/// Of a decoder: what it starts with, and what a byte may cost it. A step of a
/// job takes some 150 bytes and may be written with 12.
constexpr std::size_t least_bytes = 262'144;
constexpr std::size_t bytes_a_byte = 256;
constexpr std::size_t least_calls = 4096;
constexpr std::size_t calls_a_byte = 16;
/// Longer inputs tell nothing new here.
constexpr std::size_t longest_input = 16'384;

std::vector<std::string> inputs_of(const std::filesystem::path& folder)
{
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(folder))
        files.push_back(entry.path());
    std::sort(files.begin(), files.end()); // The file system's order is not.
    std::vector<std::string> inputs;
    for (const auto& file : files)
    {
        std::ifstream in(file, std::ios::binary);
        inputs.emplace_back(std::istreambuf_iterator<char>(in),
                            std::istreambuf_iterator<char>());
    }
    return inputs;
}

/// One place of a text changed.
void change_once(std::string& text, const std::vector<std::string>& others,
                 random_engine& random)
{
    static const std::string bytes = "{}[]\",:.-+0159eE\\nutrfals= \x80\xff";
    static const std::vector<std::string> pieces{
        "4294967296", "18446744073709551616",
        "-1",         "1e308",
        "null",       "true",
        "[[[[[[[[",   "\"\"",
        "{}",         "====",
        "0.5",        "9007199254740993",
        "\\ud800"};
    const auto at = random() % (text.size() + 1);
    switch (random() % 6)
    {
    case 0:
        if (at < text.size())
            text[at] = bytes[random() % bytes.size()];
        break;
    case 1:
        text.erase(at, 1 + random() % 16);
        break;
    case 2:
        text.insert(at, 1 + random() % 3, bytes[random() % bytes.size()]);
        break;
    case 3:
        text.replace(at, random() % 12, pieces[random() % pieces.size()]);
        break;
    case 4:
        text.insert(at,
                    text.substr(random() % (text.size() + 1), random() % 64));
        break;
    default:
        const auto& other = others[random() % others.size()];
        text = text.substr(0, at) + other.substr(random() % (other.size() + 1));
        break;
    }
}

/// The input that is played, told where the process ends on it.
const std::string* playing = nullptr;

/// Uses what a handler of a signal may use alone.
void tell_input(int signal)
{
    constexpr std::string_view said = "ended on this input:\n";
    bool told = ::write(STDERR_FILENO, said.data(), said.size()) > 0;
    if (playing != nullptr)
        told = ::write(STDERR_FILENO, playing->data(), playing->size()) > 0;
    static_cast<void>(told);
    std::signal(signal, SIG_DFL);
    std::raise(signal);
}

/// @return Whether what it took stays within what its length allows.
bool played(const fuzz_target& target, const std::string& input)
{
    const auto before = memory.live;
    memory.most = before;
    memory.calls = 0;
    playing = &input;
    target.run(input);
    playing = nullptr;
    const auto most = memory.most - before;
    if (most <= least_bytes + bytes_a_byte * input.size() &&
        memory.calls <= least_calls + calls_a_byte * input.size())
        return true;
    std::cerr << target.name << ": " << most << " bytes and " << memory.calls
              << " allocations for an input of " << input.size()
              << " bytes: " << input.substr(0, 200) << "\n";
    return false;
}

bool replay(const fuzz_target& target, const std::filesystem::path& corpus,
            std::size_t changes)
{
    const auto inputs = inputs_of(corpus / target.name);
    if (inputs.empty())
    {
        std::cerr << target.name << " has no corpus\n";
        return false;
    }
    bool good = true;
    for (const auto& input : inputs)
    {
        good = played(target, input) && good;
    }
    random_engine random(1);
    for (std::size_t i = 0; i < changes; ++i)
    {
        auto input = inputs[random() % inputs.size()];
        for (auto left = 1 + random() % 4; left > 0; --left)
            change_once(input, inputs, random);
        input.resize(std::min(input.size(), longest_input));
        good = played(target, input) && good;
    }
    std::cout << target.name << ": " << inputs.size() << " inputs, " << changes
              << " changed, " << (good ? "good" : "BAD") << "\n";
    return good;
}

} // namespace

int main(int argc, char** argv)
{
    std::string corpus = "tests/fuzz/corpus";
    std::size_t changes = 20'000;
    command_line line("fuzz_replay", "replays the corpus and changes of it");
    line.text("corpus", corpus, "folder with one folder for each target", true);
    line.number<std::size_t>("changes", changes, 0, 10'000'000, "inputs",
                             "made from the corpus for each target");
    parse_or_exit(line, argc, argv);
    for (const int signal : {SIGABRT, SIGSEGV, SIGFPE, SIGBUS})
        std::signal(signal, tell_input);
    bool good = true;
    for (const auto& target : fuzz_targets())
        good = replay(target, corpus, changes) && good;
    return good ? 0 : 1;
}
