#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>

#include "ctl/Ctl.h"
#include "ctl/Documentation.h"

namespace fernlift::ctl
{
namespace
{

std::string readPage (const std::string& name)
{
    const char* const folder = std::getenv ("FERNLIFT_SOURCE_DIR");
    std::ifstream stream (std::string (folder == nullptr ? "." : folder) + "/docs/" + name,
                          std::ios::binary);
    return { std::istreambuf_iterator<char> (stream), {} };
}

TEST (DocumentationTest, EventsPageMatchesTheCode)
{
    EXPECT_EQ (readPage ("events.md"), eventsMarkdown (log::allEvents()))
        << "Run: build/bin/fernliftctl events --markdown > docs/events.md";
}

TEST (DocumentationTest, ErrorsPageMatchesTheCode)
{
    EXPECT_EQ (readPage ("errors.md"), errorsMarkdown (base::allErrorTraits()))
        << "Run: build/bin/fernliftctl errors --markdown > docs/errors.md";
}

TEST (DocumentationTest, CommandsPageListsEveryCommandAndExitCode)
{
    const std::string page = readPage ("operators/fernliftctl.md");
    for (const Command& command : allCommands())
    {
        EXPECT_NE (page.find ("`" + std::string (command.name)), std::string::npos) << command.name;
    }
    for (const base::ErrorTraits& error : base::allErrorTraits())
    {
        const std::string row = "\n| " + std::to_string (error.exitCode) + " | ";
        EXPECT_NE (page.find (row), std::string::npos) << error.name << " " << error.exitCode;
    }
}

TEST (DocumentationTest, EventsAreSortedByModule)
{
    const log::EventTraits events[] = {
        { 4002, "B", log::Severity::kError, "b | c", "Act." },
        { 1001, "A", log::Severity::kInfo, "a", "None." },
    };
    const std::string page = eventsMarkdown (events);
    const std::size_t first = page.find ("## Every program\n");
    const std::size_t second = page.find ("## Router\n");
    ASSERT_NE (first, std::string::npos) << page;
    ASSERT_NE (second, std::string::npos) << page;
    EXPECT_LT (first, second);
    EXPECT_NE (page.find ("| 4002 | B | error | b \\| c | Act. |\n"), std::string::npos) << page;
}

}  // namespace
}  // namespace fernlift::ctl
