#include "glenhollow/rpc/large_reads.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace glenhollow;

// Guards against a process that runs out of memory: peers announce large
// messages, whose memory is taken at once, and never send the rest.
TEST_CASE("large reads are bounded, and old ones give way to new ones")
{
    manual_clock clock;
    large_reads reads(clock, {100, seconds{1}});
    std::vector<int> aborted;
    const auto begin = [&](int name, std::size_t bytes)
    { return reads.begin(bytes, [&, name] { aborted.push_back(name); }); };
    const auto first = begin(1, 60);
    CHECK(first != 0);
    CHECK(begin(2, 40) != 0);
    CHECK(begin(3, 1) == 0);
    CHECK(aborted.empty());
    reads.end(first);
    CHECK(begin(4, 60) != 0);
    clock.advance(seconds{1});
    CHECK(begin(5, 80) != 0);
    CHECK(aborted == std::vector<int>{2, 4});
    reads.end(first); // Unknown by now.
    CHECK(begin(6, 21) == 0);
    CHECK(begin(7, 20) != 0);
}

TEST_CASE("a single large read always has room")
{
    manual_clock clock;
    large_reads reads(clock, {100, seconds{1}});
    CHECK(reads.begin(200, [] {}) != 0);
}
