#pragma once

/// HTTP interface of the stand-in machine list.

#include "standin/MachineListModel.h"
#include "standin/SimulatedClock.h"
#include "standin/StandinServer.h"

namespace fernlift::standin
{

class MachineListServer final : public StandinServer
{
public:
    MachineListServer (engine::MachineList machines, base::Duration lag,
                       const SimulatedClock& clock);

    void handle (const http::Request& request,
                 const std::shared_ptr<http::Responder>& responder) override;

private:
    void handleChange (const http::Request& request, http::Responder& responder);

    const SimulatedClock& m_clock;
    MachineListModel m_model;
};

}  // namespace fernlift::standin
