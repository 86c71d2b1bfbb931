#include "controller/EngineClient.h"

#include <utility>

#include "base/SocketAddress.h"

namespace fernlift::controller
{

/// One call. Ends itself once, then is dropped from the event loop.
class EngineClient::Call final : public http::AnswerListener
{
public:
    using End = std::function<void (const http::AnswerHead* head, const std::string& body)>;

    Call (base::SocketAddress address, base::Duration timeout, End onEnd)
        : onEnd_ (std::move (onEnd)),
          connection_ (std::make_shared<http::BackEndConnection> (std::move (address), timeout))
    {
        timer_.setSingleShot (true);
        QObject::connect (&timer_, &QTimer::timeout, &timer_, [this] { end (false); });
        timer_.start (std::chrono::duration_cast<base::milliseconds> (timeout));
    }
    ~Call() override { connection_->detach(); }

    void send (std::string request)
    {
        http::BackEndConnection::Call call;
        call.bytes = std::move (request);
        connection_->send (std::move (call), this);
    }

    void onSent() override {}
    void onHead (http::AnswerHead head) override { head_ = std::move (head); }
    void onBody (std::string_view data) override { body_.append (data); }
    void onDone() override { end (true); }
    void onFailed (http::BackEndFailure /*failure*/) override { end (false); }

private:
    void end (bool isWhole)
    {
        timer_.stop();
        const End onEnd = std::exchange (onEnd_, nullptr);
        if (onEnd)
            onEnd (isWhole ? &head_ : nullptr, body_);
    }

    End onEnd_;
    std::shared_ptr<http::BackEndConnection> connection_;
    http::AnswerHead head_;
    std::string body_;
    QTimer timer_;
};

EngineClient::EngineClient (std::shared_ptr<const EngineCodec> codec, base::Duration timeout)
    : codec_ (std::move (codec)), timeout_ (timeout)
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
    const std::uint64_t number = ++lastCall_;
    auto call = std::make_unique<Call> (
        parsed, timeout_,
        [this, number, onEnd = std::move (onEnd)] (const http::AnswerHead* head,
                                                   const std::string& body)
        {
            // The call is still on the stack: it goes once control is
            // back in the event loop.
            QTimer::singleShot (0, &context_, [this, number] { calls_.erase (number); });
            onEnd (head, body);
        });
    Call& started = *call;
    calls_.emplace (number, std::move (call));
    started.send (std::move (request));
}

void EngineClient::sendOrder (const std::string& address, const engine::ServiceOrder& order,
                              std::function<void (engine::OrderOutcome)> onAnswer)
{
    start (
        address, codec_->orderRequest (order, address),
        [this, onAnswer = std::move (onAnswer)] (const http::AnswerHead* head, const std::string&) {
            onAnswer (head == nullptr ? engine::OrderOutcome::kUnknown
                                      : codec_->orderOutcome (*head));
        });
}

void EngineClient::pollReport (const std::string& instance, const std::string& address,
                               std::function<void (const engine::ServiceReport*)> onReport)
{
    constexpr int kOk = 200;
    start (address, codec_->reportRequest (instance, address),
           [this, onReport = std::move (onReport)] (const http::AnswerHead* head,
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
                       BOOST_LEAF_AUTO (report, codec_->parseReport (body));
                       onReport (&report);
                       return {};
                   },
                   [&] (const base::Error&) { onReport (nullptr); });
           });
}

}  // namespace fernlift::controller
