#pragma once

/// HTTP side of the stand-in weight store.

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
    void settle();

    const SimulatedClock& clock_;
    WeightStoreModel model_;
    SimulatedTimer timer_;
    TransferId lastTransfer_ = 0;
    std::map<TransferId, std::shared_ptr<http::Responder>> transfers_;
    std::uint64_t fetches_ = 0;
    std::uint64_t refusals_ = 0;
};

}  // namespace fernlift::standin
