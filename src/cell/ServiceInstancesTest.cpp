#include <gtest/gtest.h>

#include "cell/ServiceInstances.h"
#include "wire/Codec.h"

namespace fernlift::cell
{
namespace
{

ServiceInstance instanceOf (const std::string& id)
{
    ServiceInstance instance;
    instance.id = id;
    instance.service = "service";
    instance.address = "10.0.0.1:80";
    return instance;
}

TEST (ServiceInstancesTest, DrainingIsFinal)
{
    ServiceInstances instances;
    EXPECT_TRUE (instances.add (instanceOf ("i-1")));
    EXPECT_TRUE (instances.drain ("i-1"));
    EXPECT_FALSE (instances.drain ("i-1"));
    EXPECT_FALSE (instances.add (instanceOf ("i-1")));
    EXPECT_TRUE (instances.find ("i-1")->isDraining);
}

TEST (ServiceInstancesTest, ALateHeartbeatDoesNotRestoreADeregisteredInstance)
{
    ServiceInstances instances;
    instances.add (instanceOf ("i-1"));
    EXPECT_TRUE (instances.remove ("i-1", true));
    EXPECT_FALSE (instances.add (instanceOf ("i-1")));
}

TEST (ServiceInstancesTest, AnInstanceThatWasOnlySilentRegistersAgain)
{
    ServiceInstances instances;
    instances.add (instanceOf ("i-1"));
    EXPECT_TRUE (instances.remove ("i-1", false));
    EXPECT_TRUE (instances.add (instanceOf ("i-1")));
}

TEST (ServiceInstancesTest, DeregistrationBeforeTheFirstHeartbeatHolds)
{
    ServiceInstances instances;
    EXPECT_FALSE (instances.remove ("i-1", true));
    EXPECT_FALSE (instances.add (instanceOf ("i-1")));
}

TEST (ServiceInstancesTest, UnchangedModelsAreNoChange)
{
    ServiceInstances instances;
    instances.add (instanceOf ("i-1"));
    const std::vector<HeldModel> models{ { "m", 1, { "a1" } } };
    EXPECT_TRUE (instances.setModels ("i-1", models));
    EXPECT_FALSE (instances.setModels ("i-1", models));
    EXPECT_FALSE (instances.setModels ("i-2", models));
}

TEST (ServiceInstancesTest, SurvivesEncoding)
{
    ServiceInstances instances;
    instances.add (instanceOf ("i-1"));
    instances.setModels ("i-1", { { "m", 2, { "a1", "a2" } } });
    instances.drain ("i-1");
    instances.remove ("i-2", true);
    auto decoded = wire::decodeValue<ServiceInstances> (wire::encodeValue (instances));
    ASSERT_TRUE (decoded);
    EXPECT_EQ (decoded.value(), instances);
}

ServiceInstance incarnationOf (const std::string& id, base::UnixMilliseconds startedAt)
{
    ServiceInstance instance = instanceOf (id);
    instance.startedAt = startedAt;
    return instance;
}

TEST (ServiceInstancesTest, ALaterIncarnationInheritsNoState)
{
    ServiceInstances instances;
    EXPECT_TRUE (instances.add (incarnationOf ("i-1", 1000)));
    instances.setModels ("i-1", { { "m", 1, {} } }, 1000);
    instances.drain ("i-1", 1000);
    EXPECT_TRUE (instances.add (incarnationOf ("i-1", 2000)));
    EXPECT_EQ (*instances.find ("i-1"), incarnationOf ("i-1", 2000));
}

TEST (ServiceInstancesTest, LateMessagesOfAnEarlierIncarnationChangeNothing)
{
    ServiceInstances instances;
    instances.add (incarnationOf ("i-1", 2000));
    EXPECT_FALSE (instances.add (incarnationOf ("i-1", 1000)));
    EXPECT_FALSE (instances.drain ("i-1", 1000));
    EXPECT_FALSE (instances.setModels ("i-1", { { "m", 1, {} } }, 1000));
    EXPECT_FALSE (instances.remove ("i-1", true, 1000));
    EXPECT_EQ (*instances.find ("i-1"), incarnationOf ("i-1", 2000));
}

TEST (ServiceInstancesTest, OnlyALaterIncarnationIsAddedAfterADeregistration)
{
    ServiceInstances instances;
    instances.add (incarnationOf ("i-1", 1000));
    EXPECT_TRUE (instances.remove ("i-1", true));
    EXPECT_EQ (instances.lastStartOf ("i-1"), 1000);
    EXPECT_FALSE (instances.add (incarnationOf ("i-1", 1000)));
    EXPECT_FALSE (instances.add (instanceOf ("i-1")));
    EXPECT_TRUE (instances.add (incarnationOf ("i-1", 2000)));
}

TEST (ServiceInstancesTest, AStartTimeReportedLaterIsAdded)
{
    ServiceInstances instances;
    instances.add (instanceOf ("i-1"));
    instances.drain ("i-1");
    EXPECT_TRUE (instances.add (incarnationOf ("i-1", 1000)));
    EXPECT_TRUE (instances.find ("i-1")->isDraining);
    EXPECT_EQ (instances.find ("i-1")->startedAt, 1000);
}

TEST (ServiceInstancesTest, ParsesIncarnationsFromTheirNames)
{
    for (const Incarnation& incarnation :
         { Incarnation{ "i-1", 0 }, Incarnation{ "i-1", 1764728322123 }, Incarnation{ "a@b", 0 },
           Incarnation{ "a@b", 5 } })
        EXPECT_EQ (Incarnation::fromName (incarnation.name()), incarnation);
}

}  // namespace
}  // namespace fernlift::cell
