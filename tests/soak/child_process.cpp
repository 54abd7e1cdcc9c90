#include "soak/child_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace glenhollow::soak
{

namespace
{

constexpr int log_mode = 0644;
constexpr int cannot_start = 127;

} // namespace

child_process::child_process(std::vector<std::string> arguments,
                             std::string log)
    : arguments_(std::move(arguments)), log_(std::move(log))
{
}

child_process::~child_process()
{
    kill();
}

void child_process::start()
{
    if (runs())
        return;
    std::vector<char*> argv;
    argv.reserve(arguments_.size() + 1);
    for (auto& argument : arguments_)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    const auto parent = ::getpid();
    const auto pid = ::fork();
    if (pid != 0)
    {
        pid_ = pid;
        return;
    }
    // It must not outlive a driver that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(cannot_start);
    const int out = ::open(log_.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_mode);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::close_range(3, ~0U, 0);
    ::execv(argv[0], argv.data());
    ::_exit(cannot_start);
}

void child_process::signal(int number) const
{
    if (runs())
        ::kill(pid_, number);
}

void child_process::kill()
{
    if (!runs())
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

std::optional<int> child_process::ended()
{
    int status = 0;
    if (!runs() || ::waitpid(pid_, &status, WNOHANG) != pid_)
        return std::nullopt;
    pid_ = -1;
    return status;
}

std::string told_status(int status)
{
    if (WIFSIGNALED(status))
        return "signal " + std::to_string(WTERMSIG(status));
    return "status " + std::to_string(WEXITSTATUS(status));
}

} // namespace glenhollow::soak
