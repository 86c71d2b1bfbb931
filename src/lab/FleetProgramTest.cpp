// Tests fernlift-fleet over its command line, with one process for each command.

#include <gtest/gtest.h>

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>
#include <QTemporaryDir>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "lab/TestSupport.h"

namespace fernlift::lab
{
namespace
{

constexpr int kWaitTimeoutMilliseconds = 90'000;

constexpr std::string_view kSmallestFleet = R"(
cell = "c"
time_scale = 0.1
[[controllers]]
id = 1
zone = "z1"
[[routers]]
id = "router-1"
zone = "z1"
[[engines]]
id = "engine-1"
zone = "z1"
memory_mb = 1000
slots = 2
[[application_runners]]
id = "portal-1"
zone = "z1"
slots = 2
applications = ["portal"]
)";

class FleetProgramTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ensureApplication();
        std::ofstream (path ("fleet.toml")) << kSmallestFleet;
    }

    void TearDown() override
    {
        if (HasFailure())
        {
            run ({ "stop" });
        }
    }

    [[nodiscard]] std::string path (const std::string& name) const
    {
        return m_folder.filePath (QString::fromStdString (name)).toStdString();
    }

    /// Runs one command of the fleet tool and returns its exit code; -1 when it does not end in
    /// time.
    int run (const std::vector<std::string>& arguments) const
    {
        const char* programs = std::getenv ("FERNLIFT_BIN_DIR");
        QStringList list;
        for (const std::string& argument : arguments)
        {
            list.append (QString::fromStdString (argument));
        }
        list << QStringLiteral ("--run-folder") << m_folder.filePath (QStringLiteral ("run"));
        QProcess process;
        process.start (QString::fromStdString (std::string (programs == nullptr ? "bin" : programs)
                                               + "/fernlift-fleet"),
                       list);
        return process.waitForFinished (kWaitTimeoutMilliseconds) ? process.exitCode() : -1;
    }

    [[nodiscard]] std::vector<std::int64_t> processIds() const
    {
        QFile file (m_folder.filePath (QStringLiteral ("run/state.json")));
        EXPECT_TRUE (file.open (QIODevice::ReadOnly));
        const QJsonArray processes = QJsonDocument::fromJson (file.readAll())
                                         .object()
                                         .value (QStringLiteral ("processes"))
                                         .toArray();
        std::vector<std::int64_t> ids;
        for (const auto& process : processes)
        {
            ids.push_back (process.toObject().value (QStringLiteral ("pid")).toInteger());
        }
        return ids;
    }

    QTemporaryDir m_folder;
};

TEST_F (FleetProgramTest, NoProcessRunsAfterStopReturns)
{
    ASSERT_EQ (run ({ "start", path ("fleet.toml"), "--detach" }), 0);
    const std::vector<std::int64_t> ids = processIds();
    EXPECT_EQ (ids.size(), 6U);
    EXPECT_EQ (run ({ "status" }), 0);
    EXPECT_EQ (run ({ "stop" }), 0);
    for (const std::int64_t id : ids)
    {
        EXPECT_FALSE (std::filesystem::exists ("/proc/" + std::to_string (id))) << id;
    }
    EXPECT_NE (run ({ "status" }), 0);
}

}  // namespace
}  // namespace fernlift::lab
