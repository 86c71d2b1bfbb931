#pragma once

/// HTTP interface of the stand-in weight store.

#include <map>

#include "standin/SimulatedClock.h"
#include "standin/StandinServer.h"
#include "standin/WeightStoreModel.h"

namespace fernlift::standin
{

class WeightStoreServer final : public StandinServer
{
public:
    WeightStoreServer (const WeightStoreOptions& options, const SimulatedClock& clock);

    void handle (const http::Request& request,
                 const std::shared_ptr<http::Responder>& responder) override;

private:
    void handleFetch (const http::Request& request,
                      const std::shared_ptr<http::Responder>& responder);
    void begin (engine::Megabytes size, const std::shared_ptr<http::Responder>& responder);
    void handleFault (const http::Request& request, http::Responder& responder);
    void advanceModel();

    const SimulatedClock& m_clock;
    WeightStoreModel m_model;
    SimulatedTimer m_timer;
    TransferId m_lastTransfer = 0;
    std::map<TransferId, std::shared_ptr<http::Responder>> m_transfers;
    std::uint64_t m_fetches = 0;
    std::uint64_t m_refusals = 0;
};

}  // namespace fernlift::standin
