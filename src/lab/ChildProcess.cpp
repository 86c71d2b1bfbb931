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

/// Runs in the child between fork and exec: only async-signal-safe calls.
void dieWithParent (pid_t parent)
{
    prctl (PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
    {
        _exit (1);
    }
}

}  // namespace

ChildProcess::ChildProcess (ProcessPlan plan) : plan_ (std::move (plan)) {}

ChildProcess::~ChildProcess()
{
    if (isRunning())
    {
        kill();
    }
}

base::Result<void> ChildProcess::start()
{
    process_.setProgram (QString::fromStdString (plan_.program));
    process_.setArguments (toStringList (plan_.arguments));
    process_.setProcessChannelMode (QProcess::MergedChannels);
    process_.setStandardOutputFile (QString::fromStdString (plan_.logFile), QIODevice::Append);
    process_.setStandardInputFile (QProcess::nullDevice());
    const pid_t parent = getpid();
    process_.setChildProcessModifier ([parent] { dieWithParent (parent); });
    process_.start();
    if (! process_.waitForStarted (kStartTimeoutMilliseconds))
    {
        return base::fail (base::ErrorKind::kInternal, "cannot start " + plan_.program + ": "
                                                           + process_.errorString().toStdString());
    }
    return {};
}

bool ChildProcess::isRunning() const { return process_.state() == QProcess::Running; }

std::int64_t ChildProcess::processId() const { return process_.processId(); }

int ChildProcess::exitCode() const
{
    const bool endedByItself =
        process_.state() == QProcess::NotRunning && process_.exitStatus() == QProcess::NormalExit;
    return endedByItself ? process_.exitCode() : -1;
}

void ChildProcess::requestStop() { sendSignal (SIGTERM); }

void ChildProcess::kill()
{
    sendSignal (SIGKILL);
    process_.waitForFinished (kKillTimeoutMilliseconds);
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
        ::kill (static_cast<pid_t> (process_.processId()), signal);
    }
}

}  // namespace fernlift::lab
