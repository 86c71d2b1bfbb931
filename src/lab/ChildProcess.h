#pragma once

/// A child process that the kernel kills when its parent ends. All calls belong to the thread that
/// created the object.

#include <QProcess>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"

namespace fernlift::lab
{

/// Command line of a process and the file for its output.
struct ProcessPlan
{
    std::string program;  ///< Path of the executable.
    std::vector<std::string> arguments;
    std::string logFile;  ///< File to which standard output and error are appended.

    bool operator== (const ProcessPlan&) const = default;
};

/// A child process. The kernel kills it when this process ends, also after a crash or SIGKILL.
/// Signals go only to the process that this object started.
class ChildProcess
{
public:
    explicit ChildProcess (ProcessPlan plan);
    /// Kills the child if it still runs.
    ~ChildProcess();
    ChildProcess (const ChildProcess&) = delete;
    ChildProcess& operator= (const ChildProcess&) = delete;

    /// Fails with kInternal when the program cannot be run.
    [[nodiscard]] base::Result<void> start();
    [[nodiscard]] bool isRunning() const;
    /// Process id; 0 when the child does not run.
    [[nodiscard]] std::int64_t processId() const;
    /// Exit code of a child that exited; -1 while it runs or after a signal ended it.
    [[nodiscard]] int exitCode() const;
    [[nodiscard]] const ProcessPlan& plan() const { return m_plan; }

    /// Requests a planned stop (SIGTERM).
    void requestStop();
    /// Kills the child (SIGKILL) and waits for its end.
    void kill();
    /// Suspends the child (SIGSTOP).
    void freeze();
    /// Resumes a frozen child (SIGCONT).
    void thaw();
    /// Handles events until the child has ended; false when it still runs after `timeout`.
    bool waitForEnd (base::Duration timeout);

private:
    void sendSignal (int signal);

    ProcessPlan m_plan;
    QProcess m_process;
};

}  // namespace fernlift::lab
