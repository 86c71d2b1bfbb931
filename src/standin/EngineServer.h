#pragma once

/// HTTP interface of the stand-in engine.

#include <map>
#include <optional>
#include <vector>

#include "base/SocketAddress.h"
#include "http/Client.h"
#include "standin/CompletionFormat.h"
#include "standin/EngineModel.h"
#include "standin/Faults.h"
#include "standin/SimulatedClock.h"
#include "standin/StandinServer.h"

namespace fernlift::standin
{

class EngineServer final : public StandinServer
{
public:
    /// Without a weight store, remote checkpoints arrive after a transfer at a fixed speed.
    EngineServer (const EngineOptions& options, const SimulatedClock& clock,
                  std::optional<base::SocketAddress> weightStore);

    void handle (const http::Request& request,
                 const std::shared_ptr<http::Responder>& responder) override;
    void beginStop() override;
    [[nodiscard]] bool isIdle() const override;
    [[nodiscard]] std::string ledgerJson() const override;

private:
    using ResponderPointer = std::shared_ptr<http::Responder>;
    /// An accepted request whose answer is not complete.
    struct OpenAnswer
    {
        CompletionRequest request;
        std::string id;
        ResponderPointer responder;
        bool hasBegun = false;
        std::map<std::uint64_t, std::string> parts;  ///< Parts of a non-streamed answer by offset.
    };

    void route (const http::Request& request, const ResponderPointer& responder);
    void routeStandin (const http::Request& request, const ResponderPointer& responder);
    void handleOrder (const http::Request& request, http::Responder& responder);
    void handleInference (const http::Request& request, const ResponderPointer& responder,
                          bool isChat);
    void submit (const EngineRequest& input, const CompletionRequest& completion,
                 const ResponderPointer& responder);
    void handleCache (const http::Request& request, const std::string& id,
                      http::Responder& responder);
    void handleCacheEvents (const http::Request& request, http::Responder& responder);
    bool handleFault (const FaultCommand& command, http::Responder& responder);
    void sendJson (http::Responder& responder, int status, const std::string& json) const;
    [[nodiscard]] http::Headers commonHeaders (const std::string& contentType) const;

    /// Advances the model, applies its effects and restarts the timer.
    void advanceModel();
    void apply (const FetchWeights& effect);
    void apply (const CancelFetch& effect);
    void apply (const TokenChunk& effect);
    void apply (const AnswerEnded& effect);
    void apply (const AnswerRefused& effect);
    void apply (const AnswerBroken& effect);
    void apply (const ExitProcess& effect);
    void onFetchAnswer (FetchId fetch, const http::WholeResponse& response);
    void onFetchRefused (FetchId fetch, base::Duration retryAfter);

    const SimulatedClock& m_clock;
    std::optional<base::SocketAddress> m_weightStore;
    EngineModel m_model;
    SimulatedTimer m_timer;
    http::Client m_client;
    std::map<RequestHandle, OpenAnswer> m_answers;
    std::map<FetchId, std::shared_ptr<http::Exchange>> m_fetches;
    bool m_isHanging = false;                    ///< Set by a fault: requests get no answer.
    std::vector<ResponderPointer> m_unanswered;  ///< Requests received while hanging.
};

}  // namespace fernlift::standin
