#ifndef GLENHOLLOW_TESTS_SCENARIOS_DEPLOYMENT_HPP
#define GLENHOLLOW_TESTS_SCENARIOS_DEPLOYMENT_HPP

#include "glenhollow/core/clock.hpp"
#include "glenhollow/http/client.hpp"
#include "glenhollow/language/statement.hpp"

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace glenhollow
{

/// A small deployment of real processes on free loopback ports: `platform`,
/// entries `e1`..., agents `a1`... and their runners `r1`... The VM of an agent
/// is named as its runner. All of it ends with the object.
class deployment final
{
public:
    /// @param programs Folder of the programs.
    /// @param folder Where port files and logs go; it exists.
    deployment(std::string programs, std::string folder);
    ~deployment();

    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts everything and waits until all are linked.
    /// @param entries How many.
    /// @param runners How many, each with an agent.
    void start(std::size_t entries, std::size_t runners);

    /// Does something to a process; `stop` waits for its end.
    /// @param action What.
    /// @param process Such as e1, a2, r3 or platform.
    void act(process_action action, const std::string& process);

    /// @param process An entry, a runner or the platform.
    /// @return Its HTTP address.
    host_port http(const std::string& process) const;

    /// @return Names of entries that were started.
    std::vector<std::string> entries() const;

    /// @return Names of runners that were started.
    std::vector<std::string> runners() const;

    /// @return Token of the operator.
    static std::string token() { return "scenario-operator-token"; }

private:
    /// One process.
    struct process
    {
        std::vector<std::string> command; ///< Program and flags.
        pid_t pid = -1;                   ///< -1 while it does not run.
        std::vector<std::uint16_t> ports; ///< As it wrote them.
        int starts = 0;                   ///< So far.
    };

    void launch(const std::string& name);
    void announce(const std::string& name);
    void wait_for_links() const;
    void wait_for_end(process& one) const;

    std::string programs_;                     ///< Folder.
    std::string folder_;                       ///< Folder.
    std::map<std::string, process> processes_; ///< By name.
};

} // namespace glenhollow

#endif
