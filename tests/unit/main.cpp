#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <boost/log/core.hpp>

int main(int argc, char** argv)
{
    // Parts under test log their changes of state; nobody reads them here.
    boost::log::core::get()->set_logging_enabled(false);
    return Catch::Session().run(argc, argv);
}
