#pragma once

/// Parses and applies the bodies of POST /standin/faults: {"fault": NAME, ...}. docs/standins.md
/// lists the faults.

#include <cstdint>
#include <string>
#include <string_view>

#include "standin/ApplicationModel.h"
#include "standin/EngineTypes.h"
#include "standin/WeightStoreModel.h"

namespace fernlift::standin
{

/// A fault command; each fault uses only some of the fields.
struct FaultCommand
{
    std::string fault;
    bool isEnabled = true;     ///< "enabled"
    std::uint64_t count = 1;   ///< "count"
    std::uint64_t tokens = 8;  ///< "tokens"
    double factor = 1.0;       ///< "factor"
};

/// Parses a fault command; fails with kMessageInvalid.
[[nodiscard]] base::Result<FaultCommand> parseFaultCommand (std::string_view json);

/// Changes the faults in force; false when this kind of stand-in does not support the fault.
bool applyFault (const FaultCommand& command, EngineFaults& faults);
bool applyFault (const FaultCommand& command, ApplicationFaults& faults);
bool applyFault (const FaultCommand& command, WeightStoreFaults& faults);

}  // namespace fernlift::standin
