#include "lab/ChildProcess.h"

#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <QStringList>
#include <utility>

#include "lab/EventWait.h"

namespace fernlift::lab
{
namespace
{

constexpr int kStartTimeoutMilliseconds = 10000;
constexpr int kKillTimeoutMilliseconds = 10000;

QStringList toStringList (const std::vector<std::string>& texts)
{
    QStringList list;
    for (const std::string& text : texts)
    {
        list.append (QString::fromStdString (text));
    }
    return list;
}

/// Has the kernel kill this process when its parent ends. Runs in the child between fork and exec,
/// where only async-signal-safe calls are allowed.
void dieWithParent (pid_t parent)
{
    prctl (PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
    {
        _exit (1);
    }
}

}  // namespace

ChildProcess::ChildProcess (ProcessPlan plan) : m_plan (std::move (plan)) {}

ChildProcess::~ChildProcess()
{
    if (isRunning())
    {
        kill();
    }
}

base::Result<void> ChildProcess::start()
{
    m_process.setProgram (QString::fromStdString (m_plan.program));
    m_process.setArguments (toStringList (m_plan.arguments));
    m_process.setProcessChannelMode (QProcess::MergedChannels);
    m_process.setStandardOutputFile (QString::fromStdString (m_plan.logFile), QIODevice::Append);
    m_process.setStandardInputFile (QProcess::nullDevice());
    const pid_t parent = getpid();
    m_process.setChildProcessModifier ([parent] { dieWithParent (parent); });
    m_process.start();
    if (! m_process.waitForStarted (kStartTimeoutMilliseconds))
    {
        return base::fail (base::ErrorKind::kInternal, "cannot start " + m_plan.program + ": "
                                                           + m_process.errorString().toStdString());
    }
    return {};
}

bool ChildProcess::isRunning() const { return m_process.state() == QProcess::Running; }

std::int64_t ChildProcess::processId() const { return m_process.processId(); }

int ChildProcess::exitCode() const
{
    const bool endedByItself =
        m_process.state() == QProcess::NotRunning && m_process.exitStatus() == QProcess::NormalExit;
    return endedByItself ? m_process.exitCode() : -1;
}

void ChildProcess::requestStop() { sendSignal (SIGTERM); }

void ChildProcess::kill()
{
    sendSignal (SIGKILL);
    m_process.waitForFinished (kKillTimeoutMilliseconds);
}

void ChildProcess::freeze() { sendSignal (SIGSTOP); }

void ChildProcess::thaw() { sendSignal (SIGCONT); }

bool ChildProcess::waitForEnd (base::Duration timeout)
{
    return waitUntil ([this] { return ! isRunning(); }, timeout);
}

void ChildProcess::sendSignal (int signal)
{
    if (isRunning())
    {
        ::kill (static_cast<pid_t> (m_process.processId()), signal);
    }
}

}  // namespace fernlift::lab
