#include "glenhollow/supervision/supervisor.hpp"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace glenhollow;

namespace
{

/// A child that fails when the test calls `fail`.
class fake_child final : public supervised
{
public:
    explicit fake_child(std::string name) : name_(std::move(name)) {}

    const std::string& name() const override { return name_; }
    void start(failed_handler failed) override
    {
        ++starts;
        fail = std::move(failed);
    }
    void stop() override { ++stops; }

    int starts = 0;
    int stops = 0;
    failed_handler fail; ///< The handler given to the last start().

private:
    std::string name_;
};

/// A running supervisor with two children.
struct fixture
{
    boost::asio::io_context io{1};
    supervisor root;
    fake_child* one = nullptr;
    fake_child* two = nullptr;
    std::string failed;

    explicit fixture(restart_policy policy,
                     supervisor_settings settings = fast_settings())
        : root("root", io, settings)
    {
        auto first = std::make_unique<fake_child>("one");
        auto second = std::make_unique<fake_child>("two");
        one = first.get();
        two = second.get();
        root.add(std::move(first), policy);
        root.add(std::move(second), policy);
        root.start([this](const std::string& why) { failed = why; });
    }

    static supervisor_settings fast_settings()
    {
        supervisor_settings settings;
        settings.initial_backoff = milliseconds{1};
        settings.max_restarts = 3;
        return settings;
    }

    void run_ready()
    {
        io.restart();
        io.run();
    }
};

} // namespace

TEST_CASE("a failed child is restarted and its sibling keeps running")
{
    fixture f(restart_policy::restart);
    f.one->fail("broken");
    f.run_ready();
    REQUIRE(f.one->starts == 2);
    REQUIRE(f.two->starts == 1);
    REQUIRE(f.root.restarts() == 1);
    REQUIRE(f.failed.empty());
}

TEST_CASE("too many restarts stop all children and fail the supervisor")
{
    fixture f(restart_policy::restart);
    for (int i = 0; i < 4; ++i)
    {
        f.one->fail("broken");
        f.run_ready();
    }
    REQUIRE(f.failed == "one: broken");
    REQUIRE(f.two->stops == 1);
    REQUIRE(f.one->starts == 4);
}

TEST_CASE("the failure of a child with policy escalate fails the supervisor")
{
    fixture f(restart_policy::escalate);
    f.two->fail("lost");
    REQUIRE(f.failed == "two: lost");
    REQUIRE(f.one->stops == 1);
    REQUIRE(f.two->starts == 1);
}

TEST_CASE("an exception thrown by a periodic task is reported as a failure")
{
    boost::asio::io_context io{1};
    int runs = 0;
    std::string why;
    periodic_task task("upkeep", io, milliseconds{1},
                       [&]
                       {
                           if (++runs == 3)
                               throw std::runtime_error("third time");
                       });
    task.start([&](const std::string& cause) { why = cause; });
    io.run();
    REQUIRE(runs == 3);
    REQUIRE(why == "third time");
}
