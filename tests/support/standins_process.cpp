// Starting and ending of stand-in processes.
#include "standins_process.hpp"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>

namespace tamarack::standins {

namespace {

constexpr const char *ReadyPrefix = "listening on ";

std::string readLine(int file)
{
    std::string line;
    char byte = 0;
    while (::read(file, &byte, 1) == 1 && byte != '\n')
        line += byte;
    return line;
}

[[noreturn]] void execute(const std::string &program, const std::vector<std::string> &flags,
                          int output)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output, STDOUT_FILENO);
    std::vector<std::string> words{program};
    words.insert(words.end(), flags.begin(), flags.end());
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    ::execv(program.c_str(), arguments.data());
    ::_exit(127);
}

} // namespace

standin_process::standin_process(const std::string &name, const std::vector<std::string> &flags)
{
    const auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    const std::string program = (folder / ("standin-" + name)).string();
    int ends[2];
    if (::pipe(ends) != 0)
        return;
    m_pid = ::fork();
    if (m_pid == 0)
        execute(program, flags, ends[1]);
    ::close(ends[1]);
    const std::string line = readLine(ends[0]);
    ::close(ends[0]);
    if (line.starts_with(ReadyPrefix))
        m_address = line.substr(std::string(ReadyPrefix).size());
}

standin_process::~standin_process()
{
    signal(SIGKILL);
    wait();
}

void standin_process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

int standin_process::wait()
{
    if (m_pid <= 0)
        return -1;
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace tamarack::standins
