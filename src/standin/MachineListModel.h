#pragma once

/// The platform's machine list as a pure state machine: changes show after a lag.

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/Time.h"
#include "engine/EngineApi.h"

namespace fernlift::standin
{

class MachineListModel
{
public:
    MachineListModel (engine::MachineList machines, base::Duration lag);

    /// Adds a machine or replaces the one with its id.
    void put (const engine::Machine& machine, base::TimePoint now);
    /// Changes the state of a machine; false when there is none with that id.
    bool setState (const base::RunnerId& runner, engine::MachineState state, base::TimePoint now);
    /// Takes a machine off the list; false when there is none with that id.
    bool remove (const base::RunnerId& runner, base::TimePoint now);
    void setLag (base::Duration lag) { m_lag = lag; }

    /// The list as it shows at `now`.
    [[nodiscard]] const engine::MachineList& visible (base::TimePoint now);
    /// The list without the lag.
    [[nodiscard]] const engine::MachineList& current() const { return m_history.back().second; }

private:
    engine::MachineList& change (base::TimePoint now);

    base::Duration m_lag;
    /// Lists with the time of their making, oldest first; the first is visible.
    std::deque<std::pair<base::TimePoint, engine::MachineList>> m_history;
};

/// Parses "id,role,zone,address,memory_mb,accelerators[,application+application]"; fails with
/// kSettingsInvalid.
[[nodiscard]] base::Result<engine::Machine> parseMachineFlag (std::string_view text);

}  // namespace fernlift::standin
