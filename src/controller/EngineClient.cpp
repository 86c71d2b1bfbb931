#include "controller/EngineClient.h"

#include <utility>

#include "base/SocketAddress.h"

namespace fernlift::controller
{

/// One call. Calls its handler once; the client then deletes it from the event loop.
class EngineClient::Call final : public http::AnswerListener
{
public:
    using End = std::function<void (const http::AnswerHead* head, const std::string& body)>;

    Call (base::SocketAddress address, base::Duration timeout, End onEnd)
        : m_onEnd (std::move (onEnd)),
          m_connection (std::make_shared<http::BackEndConnection> (std::move (address), timeout))
    {
        m_timer.setSingleShot (true);
        QObject::connect (&m_timer, &QTimer::timeout, &m_timer, [this] { end (false); });
        m_timer.start (std::chrono::duration_cast<base::milliseconds> (timeout));
    }
    ~Call() override { m_connection->detach(); }

    void send (std::string request)
    {
        http::BackEndConnection::Call call;
        call.bytes = std::move (request);
        m_connection->send (std::move (call), this);
    }

    void onSent() override {}
    void onHead (http::AnswerHead head) override { m_head = std::move (head); }
    void onBody (std::string_view data) override { m_body.append (data); }
    void onDone() override { end (true); }
    void onFailed (http::BackEndFailure /*failure*/) override { end (false); }

private:
    void end (bool isWhole)
    {
        m_timer.stop();
        const End onEnd = std::exchange (m_onEnd, nullptr);
        if (onEnd)
            onEnd (isWhole ? &m_head : nullptr, m_body);
    }

    End m_onEnd;
    std::shared_ptr<http::BackEndConnection> m_connection;
    http::AnswerHead m_head;
    std::string m_body;
    QTimer m_timer;
};

EngineClient::EngineClient (std::shared_ptr<const EngineCodec> codec, base::Duration timeout,
                            Unreadable onUnreadable)
    : m_codec (std::move (codec)), m_timeout (timeout), m_onUnreadable (std::move (onUnreadable))
{
}
EngineClient::~EngineClient() = default;

void EngineClient::start (
    const std::string& address, std::string request,
    std::function<void (const http::AnswerHead* head, const std::string& body)> onEnd)
{
    const auto parsed =
        base::handleErrors ([&] { return base::SocketAddress::parse (address); },
                            [] (const base::Error&) { return base::SocketAddress(); });
    const std::uint64_t number = ++m_lastCall;
    auto call = std::make_unique<Call> (
        parsed, m_timeout,
        [this, number, onEnd = std::move (onEnd)] (const http::AnswerHead* head,
                                                   const std::string& body)
        {
            // The call is still on the stack, so it is deleted from the event loop.
            QTimer::singleShot (0, &m_context, [this, number] { m_calls.erase (number); });
            onEnd (head, body);
        });
    Call& started = *call;
    m_calls.emplace (number, std::move (call));
    started.send (std::move (request));
}

void EngineClient::sendOrder (const std::string& address, const engine::ServiceOrder& order,
                              std::function<void (engine::OrderOutcome)> onAnswer)
{
    start (
        address, m_codec->orderRequest (order, address),
        [this, onAnswer = std::move (onAnswer)] (const http::AnswerHead* head, const std::string&) {
            onAnswer (head == nullptr ? engine::OrderOutcome::kUnknown
                                      : m_codec->orderOutcome (*head));
        });
}

void EngineClient::pollReport (const std::string& instance, const std::string& address,
                               std::function<void (const engine::ServiceReport*)> onReport)
{
    constexpr int kOk = 200;
    start (address, m_codec->reportRequest (instance, address),
           [this, instance, onReport = std::move (onReport)] (const http::AnswerHead* head,
                                                              const std::string& body)
           {
               if (head == nullptr || head->status != kOk)
               {
                   onReport (nullptr);
                   return;
               }
               base::handleErrors (
                   [&]() -> base::Result<void>
                   {
                       BOOST_LEAF_AUTO (report, m_codec->parseReport (body));
                       onReport (&report);
                       return {};
                   },
                   [&] (const base::Error& error)
                   {
                       m_onUnreadable (instance, error.message);
                       onReport (nullptr);
                   });
           });
}

}  // namespace fernlift::controller
