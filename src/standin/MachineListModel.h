#pragma once

/// The platform's machine list as a state machine without I/O. Changes become visible after a lag.

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

    /// Adds a machine, or replaces the one with the same id.
    void put (const engine::Machine& machine, base::TimePoint now);
    /// Changes the state of a machine; false when there is none with that id.
    bool setState (const base::RunnerId& runner, engine::MachineState state, base::TimePoint now);
    /// Removes a machine from the list; false when there is none with that id.
    bool remove (const base::RunnerId& runner, base::TimePoint now);
    void setLag (base::Duration lag) { m_lag = lag; }

    /// Returns the list that is visible at `now`.
    [[nodiscard]] const engine::MachineList& visible (base::TimePoint now);
    /// Returns the list with all changes, regardless of the lag.
    [[nodiscard]] const engine::MachineList& current() const { return m_history.back().second; }

private:
    engine::MachineList& change (base::TimePoint now);

    base::Duration m_lag;
    /// Lists with their creation times, oldest first; the first one is visible.
    std::deque<std::pair<base::TimePoint, engine::MachineList>> m_history;
};

/// Parses "id,role,zone,address,memory_mb,accelerators[,application+application]"; fails with
/// kSettingsInvalid.
[[nodiscard]] base::Result<engine::Machine> parseMachineFlag (std::string_view text);

}  // namespace fernlift::standin
