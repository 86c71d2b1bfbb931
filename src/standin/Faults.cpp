#include "standin/Faults.h"

#include <algorithm>

#include "engine/JsonFields.h"

namespace fernlift::standin
{
namespace
{

/// Lower limit of factors; a speed divided by a smaller one would be out of any useful range.
constexpr double kSmallestFactor = 0.001;

double factorOf (const FaultCommand& command)
{
    return command.isEnabled ? std::max (command.factor, kSmallestFactor) : 1.0;
}

}  // namespace

base::Result<FaultCommand> parseFaultCommand (std::string_view json)
{
    auto object = engine::parseJsonObject (json);
    if (! object)
        return object.error();
    engine::JsonFields fields (object.value());
    FaultCommand command;
    fields.readText ("fault", &command.fault);
    if (fields.has ("enabled"))
        fields.readBoolean ("enabled", &command.isEnabled);
    if (fields.has ("count"))
        fields.readInteger ("count", &command.count);
    if (fields.has ("tokens"))
        fields.readInteger ("tokens", &command.tokens);
    if (fields.has ("factor"))
        fields.readReal ("factor", &command.factor);
    auto finished = fields.finish();
    if (! finished)
        return finished.error();
    return command;
}

bool applyFault (const FaultCommand& command, EngineFaults& faults)
{
    const std::string& name = command.fault;
    if (name == "clear")
    {
        faults = {};
    }
    else if (name == "silent")
    {
        faults.isSilent = command.isEnabled;
    }
    else if (name == "refuse_all")
    {
        faults.refusesAll = command.isEnabled;
    }
    else if (name == "freeze_reports")
    {
        faults.freezesReports = command.isEnabled;
    }
    else if (name == "die_during_load")
    {
        faults.diesDuringLoad = command.isEnabled;
    }
    else if (name == "fail_loads")
    {
        faults.loadsToFail = command.isEnabled ? static_cast<std::uint32_t> (command.count) : 0;
    }
    else if (name == "slow_loads")
    {
        faults.loadSlowdown = factorOf (command);
    }
    else if (name == "break_streams")
    {
        faults.breakAfterTokens.reset();
        if (command.isEnabled)
            faults.breakAfterTokens = command.tokens;
    }
    else if (name == "repeat_chunks")
    {
        faults.repeatsChunks = command.isEnabled;
    }
    else if (name == "reorder_chunks")
    {
        faults.reordersChunks = command.isEnabled;
    }
    else
    {
        return false;
    }
    return true;
}

bool applyFault (const FaultCommand& command, ApplicationFaults& faults)
{
    if (command.fault == "clear")
    {
        faults = {};
    }
    else if (command.fault == "close_after_body")
    {
        faults.closesAfterBody = command.isEnabled;
    }
    else if (command.fault == "silent")
    {
        faults.isSilent = command.isEnabled;
    }
    else if (command.fault == "refuse_all")
    {
        faults.refusesAll = command.isEnabled;
    }
    else if (command.fault == "slow")
    {
        faults.slowdown = factorOf (command);
    }
    else
    {
        return false;
    }
    return true;
}

bool applyFault (const FaultCommand& command, WeightStoreFaults& faults)
{
    if (command.fault == "clear")
    {
        faults = {};
    }
    else if (command.fault == "stall")
    {
        faults.isStalled = command.isEnabled;
    }
    else if (command.fault == "slow")
    {
        faults.slowdown = factorOf (command);
    }
    else
    {
        return false;
    }
    return true;
}

}  // namespace fernlift::standin
