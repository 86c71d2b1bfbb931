#include <gtest/gtest.h>

#include <QProcess>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "lab/TestSupport.h"

namespace fernlift::lab
{
namespace
{

std::string environment (const char* name)
{
    const char* const value = std::getenv (name);
    return value == nullptr ? "" : value;
}

std::string outputOf (const std::string& program, const QStringList& arguments)
{
    QProcess process;
    process.start (QString::fromStdString (environment ("FERNLIFT_BIN_DIR") + "/" + program),
                   arguments);
    process.waitForFinished();
    return process.readAllStandardOutput().toStdString();
}

std::size_t countOf (const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find (part); at != std::string::npos; at = text.find (part, at + 1))
    {
        ++count;
    }
    return count;
}

TEST (SettingsPageTest, HoldsTheReferenceOfEveryProgram)
{
    ensureApplication();
    std::ifstream stream (environment ("FERNLIFT_SOURCE_DIR") + "/docs/operators/settings.md");
    const std::string page{ std::istreambuf_iterator<char> (stream), {} };
    const std::vector<std::string> programs{ "fernlift-controller", "fernlift-router",
                                             "fernliftctl",         "fernlift-fleet",
                                             "fernlift-load",       "fernlift-faultproxy",
                                             "fernlift-sim" };
    const std::string forwarder = outputOf (
        "fernlift-router", { QStringLiteral ("forward"), QStringLiteral ("--settings-reference") });
    EXPECT_TRUE (forwarder.starts_with ("## fernlift-router forward\n")) << forwarder;
    EXPECT_NE (page.find (forwarder), std::string::npos) << "run scripts/settings-reference";
    for (const std::string& program : programs)
    {
        const std::string reference =
            outputOf (program, { QStringLiteral ("--settings-reference") });
        EXPECT_NE (reference.find ("| `log_level` |"), std::string::npos)
            << program << ": " << reference;
        EXPECT_NE (page.find (reference), std::string::npos)
            << "run scripts/settings-reference; it writes the page anew for " << program;
    }
    EXPECT_EQ (countOf (page, "## fernlift"), programs.size() + 1);
}

}  // namespace
}  // namespace fernlift::lab
