#ifndef GLENHOLLOW_TESTS_SOAK_CHILD_PROCESS_HPP
#define GLENHOLLOW_TESTS_SOAK_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace glenhollow::soak
{

/// A program that this process starts, signals by its id, and ends with itself.
class child_process final
{
public:
    /// @param arguments Path of the program, then its flags.
    /// @param log File to which its output is added.
    child_process(std::vector<std::string> arguments, std::string log);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Starts it, if it does not run.
    void start();

    /// @param number Signal; nothing happens where it does not run.
    void signal(int number) const;

    /// Ends it at once and waits for that.
    void kill();

    /// @return How it ended, once after each end.
    std::optional<int> ended();

    /// @return Whether it was started and has not ended.
    bool runs() const { return pid_ > 0; }

    /// @return Its id; -1 where it is not up.
    pid_t pid() const { return pid_; }

    /// @return File with its output.
    const std::string& log() const { return log_; }

private:
    std::vector<std::string> arguments_; ///< Its command line.
    std::string log_;                    ///< Its output.
    pid_t pid_ = -1;                     ///< Its id; -1 where it is not up.
};

/// @param status As waitpid gives it.
/// @return In words.
std::string told_status(int status);

} // namespace glenhollow::soak

#endif
