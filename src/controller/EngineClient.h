#pragma once

/// Sends orders and report requests to engines of registered services. Each call uses its own
/// connection and is never repeated.

#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/Time.h"
#include "controller/EngineCodec.h"
#include "http/BackEndConnection.h"

namespace fernlift::controller
{

class EngineClient
{
public:
    /// Called for a report that cannot be parsed, with the instance and the reason.
    using Unreadable = std::function<void (std::string_view instance, std::string_view reason)>;

    EngineClient (std::shared_ptr<const EngineCodec> codec, base::Duration timeout,
                  Unreadable onUnreadable);
    ~EngineClient();

    void sendOrder (const std::string& address, const engine::ServiceOrder& order,
                    std::function<void (engine::OrderOutcome outcome)> onAnswer);
    /// Calls `onReport` with null when the call fails or the report cannot be parsed.
    void pollReport (const std::string& instance, const std::string& address,
                     std::function<void (const engine::ServiceReport* report)> onReport);

private:
    class Call;

    void start (const std::string& address, std::string request,
                std::function<void (const http::AnswerHead* head, const std::string& body)> onEnd);

    std::shared_ptr<const EngineCodec> m_codec;
    base::Duration m_timeout;
    Unreadable m_onUnreadable;
    std::uint64_t m_lastCall = 0;
    std::map<std::uint64_t, std::unique_ptr<Call>> m_calls;
    QObject m_context;
};

}  // namespace fernlift::controller
