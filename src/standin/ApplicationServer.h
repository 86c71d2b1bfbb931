#pragma once

/// HTTP interface of the stand-in application back end.

#include <map>

#include "standin/ApplicationModel.h"
#include "standin/SimulatedClock.h"
#include "standin/StandinServer.h"

namespace fernlift::standin
{

/// Answers every request, except those to its management paths, with a JSON echo of the request.
class ApplicationServer final : public StandinServer
{
public:
    ApplicationServer (const ApplicationOptions& options, const SimulatedClock& clock);

    void handle (const http::Request& request,
                 const std::shared_ptr<http::Responder>& responder) override;
    void beginStop() override { m_model.setLeaving (true); }
    [[nodiscard]] bool isIdle() const override { return m_answers.empty(); }
    [[nodiscard]] std::string ledgerJson() const override;

private:
    struct OpenAnswer
    {
        http::Request request;
        std::shared_ptr<http::Responder> responder;
    };

    void routeStandin (const http::Request& request, http::Responder& responder);
    void perform (const http::Request& request, const std::shared_ptr<http::Responder>& responder);
    void advanceModel();
    void answer (const ApplicationDone& done);
    [[nodiscard]] http::Headers commonHeaders() const;

    const SimulatedClock& m_clock;
    ApplicationModel m_model;
    SimulatedTimer m_timer;
    std::map<RequestHandle, OpenAnswer> m_answers;
};

}  // namespace fernlift::standin
