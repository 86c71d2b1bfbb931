#include <gtest/gtest.h>

#include <QTemporaryDir>
#include <fstream>

#include "http/FileWatcher.h"
#include "http/HttpTestSupport.h"

namespace fernlift::http
{
namespace
{

TEST (FileWatcherTest, ReportsAChangeOnceAndIgnoresRemoval)
{
    test::application();
    const QTemporaryDir folder;
    const std::string path = folder.filePath (QStringLiteral ("settings")).toStdString();
    std::ofstream (path) << "one";
    int changes = 0;
    const FileWatcher watcher (path, base::milliseconds (10), [&changes] { ++changes; });
    test::runFor (std::chrono::milliseconds (50));
    EXPECT_EQ (changes, 0);
    std::ofstream (path) << "longer";
    EXPECT_TRUE (test::waitUntil ([&] { return changes == 1; }));
    std::remove (path.c_str());
    test::runFor (std::chrono::milliseconds (50));
    EXPECT_EQ (changes, 1);
}

}  // namespace
}  // namespace fernlift::http
