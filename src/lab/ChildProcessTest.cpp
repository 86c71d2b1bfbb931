#include <gtest/gtest.h>

#include <QFile>
#include <QTemporaryDir>

#include "lab/ChildProcess.h"
#include "lab/EventWait.h"
#include "lab/TestSupport.h"

namespace fernlift::lab
{
namespace
{

class ChildProcessTest : public testing::Test
{
protected:
    ChildProcessTest() { ensureApplication(); }

    ProcessPlan shell (const std::string& script)
    {
        return { "/bin/sh",
                 { "-c", script },
                 m_folder.filePath (QStringLiteral ("log")).toStdString() };
    }

    QByteArray log()
    {
        QFile file (m_folder.filePath (QStringLiteral ("log")));
        return file.open (QIODevice::ReadOnly) ? file.readAll() : QByteArray();
    }

    /// Returns the state letter of /proc/PID/stat: 'T' when stopped, ' ' without such a process.
    static char stateOf (std::int64_t processId)
    {
        QFile file (QStringLiteral ("/proc/%1/stat").arg (processId));
        if (! file.open (QIODevice::ReadOnly))
        {
            return ' ';
        }
        const QByteArray text = file.readAll();
        return text.at (text.lastIndexOf (')') + 2);
    }

    QTemporaryDir m_folder;
};

TEST_F (ChildProcessTest, KeepsOutputAndExitCode)
{
    ChildProcess child (shell ("echo out; echo error >&2; exit 7"));
    ASSERT_TRUE (succeeds ([&] { return child.start(); }));
    ASSERT_TRUE (child.waitForEnd (base::seconds (30)));
    EXPECT_EQ (child.exitCode(), 7);
    EXPECT_EQ (log(), "out\nerror\n");
}

TEST_F (ChildProcessTest, APlannedStopLetsTheChildEndByItself)
{
    ChildProcess child (shell ("trap 'exit 0' TERM; echo ready; while :; do sleep 0.01; done"));
    ASSERT_TRUE (succeeds ([&] { return child.start(); }));
    ASSERT_TRUE (waitUntil ([&] { return log() == "ready\n"; }, base::seconds (30)));
    child.requestStop();
    ASSERT_TRUE (child.waitForEnd (base::seconds (30)));
    EXPECT_EQ (child.exitCode(), 0);
}

TEST_F (ChildProcessTest, FreezesAndThaws)
{
    ChildProcess child (shell ("while :; do sleep 0.01; done"));
    ASSERT_TRUE (succeeds ([&] { return child.start(); }));
    child.freeze();
    EXPECT_TRUE (
        waitUntil ([&] { return stateOf (child.processId()) == 'T'; }, base::seconds (30)));
    child.thaw();
    EXPECT_TRUE (
        waitUntil ([&] { return stateOf (child.processId()) != 'T'; }, base::seconds (30)));
    child.kill();
    EXPECT_FALSE (child.isRunning());
    EXPECT_EQ (child.exitCode(), -1);
}

TEST_F (ChildProcessTest, EndsWithItsOwner)
{
    std::int64_t processId = 0;
    {
        ChildProcess child (shell ("exec sleep 1000"));
        ASSERT_TRUE (succeeds ([&] { return child.start(); }));
        processId = child.processId();
        ASSERT_NE (processId, 0);
    }
    EXPECT_EQ (stateOf (processId), ' ');
}

TEST_F (ChildProcessTest, ReportsAProgramThatDoesNotExist)
{
    ChildProcess child ({ "/nonexistent/program", {}, "/dev/null" });
    EXPECT_FALSE (succeeds ([&] { return child.start(); }));
}

}  // namespace
}  // namespace fernlift::lab
