#pragma once

/// Platform of a simulated cell: the machine list, which shows changes with a delay, and the weight
/// store.

#include <map>

#include "sim/Process.h"
#include "sim/World.h"
#include "standin/EngineTypes.h"
#include "standin/MachineListModel.h"
#include "standin/WeightStoreModel.h"

namespace fernlift::sim
{

class Platform final : public Process
{
public:
    Platform (World& world, NodeId node, engine::MachineList machines);

    [[nodiscard]] const engine::MachineList& machineList()
    {
        return m_list.visible (queue().now());
    }
    void setLeaving (const base::RunnerId& runner);
    void remove (const base::RunnerId& runner);
    void put (const engine::Machine& machine);
    void setLag (base::Duration lag) { m_list.setLag (lag); }

    /// Begins a transfer to an engine and returns its number. The engine is notified when the
    /// transfer ends or is refused.
    std::uint64_t beginTransfer (EngineNode& engine, standin::FetchId fetch,
                                 engine::Megabytes size);
    void cancelTransfer (std::uint64_t transfer);
    void setWeightStoreFaults (const standin::WeightStoreFaults& faults);

private:
    struct Transfer
    {
        EngineNode* engine = nullptr;
        std::uint64_t runNumber = 0;
        standin::FetchId fetch = 0;
    };

    void advanceModel();

    standin::MachineListModel m_list;
    standin::WeightStoreModel m_weights;
    std::map<std::uint64_t, Transfer> m_transfers;
    std::uint64_t m_lastTransfer = 0;
    std::uint64_t m_wakeNumber = 0;
};

}  // namespace fernlift::sim
