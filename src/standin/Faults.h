#pragma once

/// Bodies of POST /standin/faults: {"fault": NAME, ...}. docs/standins.md lists them.

#include <cstdint>
#include <string>
#include <string_view>

#include "standin/ApplicationModel.h"
#include "standin/EngineTypes.h"
#include "standin/WeightStoreModel.h"

namespace fernlift::standin
{

/// One command, with the fields that some faults use.
struct FaultCommand
{
    std::string fault;
    bool isEnabled = true;     ///< "enabled"
    std::uint64_t count = 1;   ///< "count"
    std::uint64_t tokens = 8;  ///< "tokens"
    double factor = 1.0;       ///< "factor"
};

/// Fails with kMessageInvalid.
[[nodiscard]] base::Result<FaultCommand> parseFaultCommand (std::string_view json);

/// Changes the faults in force; false when this kind of stand-in has no such fault.
bool applyFault (const FaultCommand& command, EngineFaults& faults);
bool applyFault (const FaultCommand& command, ApplicationFaults& faults);
bool applyFault (const FaultCommand& command, WeightStoreFaults& faults);

}  // namespace fernlift::standin
