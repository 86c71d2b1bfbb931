#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "engine/EngineApi.h"
#include "engine/JsonFields.h"

namespace fernlift::engine
{
namespace
{

std::uint64_t anyInteger()
{
    return *rc::gen::oneOf (rc::gen::inRange<std::uint64_t> (0, 1000),
                            rc::gen::inRange<std::uint64_t> (0, kMaxJsonInteger + 1),
                            rc::gen::just (kMaxJsonInteger));
}

std::uint32_t anyCount() { return *rc::gen::arbitrary<std::uint32_t>(); }

std::string anyText()
{
    return *rc::gen::container<std::string> (
        rc::gen::oneOf (rc::gen::inRange<char> (32, 126), rc::gen::element ('"', '\\', '\n', '/')));
}

Order anyOrder()
{
    Order order;
    order.kind = *rc::gen::element (OrderKind::kLoadModel, OrderKind::kUnloadModel,
                                    OrderKind::kLoadAdapter, OrderKind::kUnloadAdapter);
    order.fence = anyInteger();
    order.incarnation = anyInteger();
    order.replica = anyInteger();
    order.baseReplica = anyInteger();
    order.model.value = anyText();
    order.version = anyText();
    order.adapter.value = anyText();
    order.memory = anyInteger();
    return order;
}

ReplicaReport anyReplica()
{
    ReplicaReport replica;
    replica.replica = anyInteger();
    replica.phase = *rc::gen::element (ReplicaPhase::kLoading, ReplicaPhase::kReady,
                                       ReplicaPhase::kUnloading, ReplicaPhase::kFailed);
    replica.model.value = anyText();
    replica.version = anyText();
    replica.adapter.value = anyText();
    replica.memory = anyInteger();
    replica.runningRequests = anyCount();
    replica.waitingRequests = anyCount();
    return replica;
}

Report anyReport()
{
    Report report;
    report.runner.value = anyText();
    report.incarnation = anyInteger();
    report.isLeaving = *rc::gen::arbitrary<bool>();
    report.totalMemory = anyInteger();
    report.usedMemory = anyInteger();
    report.highestFence = anyInteger();
    report.slots = anyCount();
    report.runningRequests = anyCount();
    report.waitingRequests = anyCount();
    for (int count = *rc::gen::inRange (0, 4); count > 0; --count)
    {
        report.replicas.push_back (anyReplica());
        report.checkpoints.push_back (
            { anyText(), *rc::gen::element (CheckpointPlace::kRemote, CheckpointPlace::kDisk,
                                            CheckpointPlace::kMemory) });
    }
    return report;
}

MachineList anyMachineList()
{
    MachineList list;
    for (int count = *rc::gen::inRange (0, 4); count > 0; --count)
    {
        Machine machine;
        machine.runner.value = anyText();
        machine.role =
            *rc::gen::element (MachineRole::kModelRunner, MachineRole::kApplicationRunner);
        machine.state = *rc::gen::element (MachineState::kLive, MachineState::kLeaving);
        machine.zone.value = anyText();
        machine.address = anyText();
        machine.memory = anyInteger();
        machine.accelerators = anyCount();
        for (int names = *rc::gen::inRange (0, 3); names > 0; --names)
        {
            machine.applications.emplace_back (anyText());
        }
        list.machines.push_back (machine);
    }
    return list;
}

/// Error message of a failed parse; empty if it succeeds.
template <class Parse>
std::string problemOf (const Parse& parse)
{
    return base::handleErrors (
        [&]() -> base::Result<std::string>
        {
            auto parsed = parse();
            if (! parsed)
                return parsed.error();
            return std::string();
        },
        [] (const base::Error& error)
        {
            EXPECT_EQ (error.kind, base::ErrorKind::kMessageInvalid);
            return error.message;
        });
}

std::string replaced (std::string text, const std::string& from, const std::string& to)
{
    const auto position = text.find (from);
    EXPECT_NE (position, std::string::npos) << from << " in " << text;
    return text.replace (position, from.size(), to);
}

RC_GTEST_PROP (EngineApi, OrderRoundTrip, ())
{
    const Order order = anyOrder();
    RC_ASSERT (parseOrder (toJson (order)).value() == order);
}

RC_GTEST_PROP (EngineApi, OrderAnswerRoundTrip, ())
{
    OrderAnswer answer;
    answer.accepted = *rc::gen::arbitrary<bool>();
    if (! answer.accepted)
    {
        answer.refusal =
            *rc::gen::element (base::ErrorKind::kFenceStale, base::ErrorKind::kIncarnationMismatch,
                               base::ErrorKind::kInsufficientMemory, base::ErrorKind::kInternal);
    }
    answer.highestFence = anyInteger();
    answer.incarnation = anyInteger();
    RC_ASSERT (parseOrderAnswer (toJson (answer)).value() == answer);
}

RC_GTEST_PROP (EngineApi, ReportRoundTrip, ())
{
    const Report report = anyReport();
    RC_ASSERT (parseReport (toJson (report)).value() == report);
}

RC_GTEST_PROP (EngineApi, MachineListRoundTrip, ())
{
    const MachineList list = anyMachineList();
    RC_ASSERT (parseMachineList (toJson (list)).value() == list);
}

TEST (EngineApi, ParsesTheDocumentedReport)
{
    const auto report = parseReport (
        R"({"runner":"r1","incarnation":71,"state":"leaving","total_memory_mb":80000,
          "used_memory_mb":16000,"highest_fence":12,"slots":32,"running":3,"waiting":0,
          "replicas":[{"replica":12,"phase":"ready","model":"m","version":"1","adapter":"",
          "memory_mb":16000,"running":3,"waiting":0}],
          "checkpoints":[{"artifact":"m","place":"disk"}]})");
    ASSERT_TRUE (report);
    EXPECT_TRUE (report->isLeaving);
    EXPECT_EQ (report->incarnation, 71U);
    ASSERT_EQ (report->replicas.size(), 1U);
    EXPECT_EQ (report->replicas[0].phase, ReplicaPhase::kReady);
    ASSERT_EQ (report->checkpoints.size(), 1U);
    EXPECT_EQ (report->checkpoints[0].place, CheckpointPlace::kDisk);
}

TEST (EngineApi, NamesTheWrongField)
{
    Order order;
    order.fence = 7;
    const std::string good = toJson (order);
    const auto problem = [] (const std::string& json)
    { return problemOf ([&] { return parseOrder (json); }); };
    EXPECT_EQ (problem (good), "");
    EXPECT_EQ (problem (replaced (good, "\"fence\":7", "\"fence\":\"7\"")).rfind ("fence: ", 0),
               0U);
    EXPECT_EQ (problem (replaced (good, "\"fence\":7", "\"fence\":7.5")).rfind ("fence: ", 0), 0U);
    EXPECT_EQ (problem (replaced (good, "\"fence\":7", "\"fence\":-7")).rfind ("fence: ", 0), 0U);
    EXPECT_EQ (
        problem (replaced (good, "\"fence\":7", "\"fence\":9007199254740993")).rfind ("fence", 0),
        0U);
    EXPECT_EQ (problem (replaced (good, "\"fence\":7", "\"other\":7")).rfind ("fence: ", 0), 0U);
    EXPECT_EQ (problem (replaced (good, "load_model", "lift_model")).rfind ("kind: ", 0), 0U);
    EXPECT_NE (problem ("{"), "");
    EXPECT_NE (problem ("[]"), "");
}

TEST (EngineApi, NamesTheWrongFieldOfANestedObject)
{
    Report report;
    report.replicas.resize (2);
    report.replicas[1].phase = ReplicaPhase::kUnloading;
    const std::string json = replaced (toJson (report), "\"unloading\"", "\"idle\"");
    EXPECT_EQ (problemOf ([&] { return parseReport (json); }).rfind ("replicas[1].phase: ", 0), 0U);
    MachineList list;
    list.machines.resize (1);
    list.machines[0].applications.emplace_back ("portal");
    const std::string listJson = replaced (toJson (list), "\"portal\"", "4");
    EXPECT_EQ (problemOf ([&] { return parseMachineList (listJson); })
                   .rfind ("machines[0].applications[0]: ", 0),
               0U);
}

TEST (EngineApi, IgnoresUnknownFields)
{
    const std::string json = replaced (toJson (Order{}), "{", "{\"added_later\":{\"deep\":[1]},");
    EXPECT_TRUE (parseOrder (json));
}

}  // namespace
}  // namespace fernlift::engine
