#include <gtest/gtest.h>

#include "controller/ControllerSettings.h"

namespace fernlift::controller
{
namespace
{

std::vector<std::string> problemsOf (ControllerSettings& settings)
{
    config::SettingsSchema schema ("fernlift-controller", "");
    declareSettings (schema, settings);
    std::vector<std::string> problems;
    for (const auto& check : schema.checks())
    {
        const std::vector<std::string> found = check();
        problems.insert (problems.end(), found.begin(), found.end());
    }
    return problems;
}

ControllerSettings joiningSettings()
{
    ControllerSettings settings;
    settings.id = 4;
    settings.isJoining = true;
    settings.peerAddress = { "127.0.0.1", 7004 };
    settings.httpAddress = { "127.0.0.1", 8004 };
    settings.members = { "1=127.0.0.1:7001=127.0.0.1:8001=z1",
                         "4=127.0.0.1:7004=127.0.0.1:8004=z1" };
    return settings;
}

TEST (ControllerSettingsTest, JoiningRequiresMembers)
{
    ControllerSettings settings = joiningSettings();
    EXPECT_TRUE (problemsOf (settings).empty());
    settings.members.clear();
    EXPECT_EQ (problemsOf (settings).size(), 1U);
}

TEST (ControllerSettingsTest, OnlyJoiningMemberHasContacts)
{
    ControllerSettings settings = joiningSettings();
    const ControllerOptions joining = coreOptions (settings);
    ASSERT_EQ (joining.contacts.size(), 2U);
    EXPECT_EQ (joining.contacts[0].peerAddress, "127.0.0.1:7001");
    settings.isJoining = false;
    EXPECT_TRUE (coreOptions (settings).contacts.empty());
}

}  // namespace
}  // namespace fernlift::controller
