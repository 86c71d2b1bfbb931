#pragma once

/// One child process that cannot outlive its parent.

#include <QProcess>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"

namespace fernlift::lab
{

/// What to run and where its output goes.
struct ProcessPlan
{
    std::string program;  ///< Path of the executable.
    std::vector<std::string> arguments;
    std::string logFile;  ///< Standard output and error are appended here.

    bool operator== (const ProcessPlan&) const = default;
};

/// A running child. The kernel kills it when this process ends, however this process ends.
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
    /// 0 when it does not run.
    [[nodiscard]] std::int64_t processId() const;
    /// Exit code of a child that ended by itself; -1 after a signal or before the end.
    [[nodiscard]] int exitCode() const;
    [[nodiscard]] const ProcessPlan& plan() const { return m_plan; }

    /// Asks for a planned stop (SIGTERM).
    void requestStop();
    /// Ends the child at once (SIGKILL) and waits for its end.
    void kill();
    /// Stops it from running without ending it (SIGSTOP).
    void freeze();
    /// Lets a frozen child run again (SIGCONT).
    void thaw();
    /// Waits while events are handled; false when it still runs after `timeout`.
    bool waitForEnd (base::Duration timeout);

private:
    void sendSignal (int signal);

    ProcessPlan m_plan;
    QProcess m_process;
};

}  // namespace fernlift::lab
