// A stand-in running as a process of its own, ended with the object.
#pragma once

#include <string>
#include <vector>

namespace tamarack::standins {

/// @brief Starts "standin-<name>" from the running test's folder and waits until it listens.
/// The process is killed when the object goes, and when the test's thread ends.
class standin_process
{
public:
    explicit standin_process(const std::string &name, const std::vector<std::string> &flags = {});
    standin_process(const standin_process &) = delete;
    standin_process &operator=(const standin_process &) = delete;
    ~standin_process();

    /// @return "127.0.0.1:PORT"; empty if it did not start
    [[nodiscard]] const std::string &address() const { return m_address; }

    /// @brief Sends a signal to the process.
    void signal(int number) const;

    /// @brief Waits for the process to end.
    /// @return its exit status, or -1 if a signal ended it
    int wait();

private:
    int m_pid = -1; // -1 once it was waited for
    std::string m_address;
};

} // namespace tamarack::standins
