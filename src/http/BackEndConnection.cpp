#include "http/BackEndConnection.h"

#include <QTimer>
#include <charconv>
#include <optional>
#include <utility>

namespace fernlift::http
{
namespace
{

/// A connection to a runner that does not say how long it keeps one is used again only soon.
constexpr base::Duration kDefaultKeepAlive = base::seconds (2);
/// The runner closes a resting connection at the end of its time; requests in flight then are lost.
constexpr base::Duration kKeepAliveMargin = base::milliseconds (700);

/// The seconds in "timeout=5, max=100"; none when there are none.
std::optional<base::Duration> keepAliveOf (const std::string& value)
{
    constexpr std::string_view kTimeout = "timeout=";
    std::size_t begin = value.find (kTimeout);
    begin = begin == std::string::npos ? 0 : begin + kTimeout.size();
    int seconds = 0;
    const auto [end, status] =
        std::from_chars (value.data() + begin, value.data() + value.size(), seconds);
    if (status != std::errc() || seconds < 0)
        return std::nullopt;
    return base::seconds (seconds);
}

}  // namespace

BackEndConnection::BackEndConnection (base::SocketAddress address, base::Duration connectTimeout)
    : address_ (std::move (address)), connectTimeout_ (connectTimeout)
{
}

BackEndConnection::~BackEndConnection() = default;

void BackEndConnection::send (Call call, AnswerListener* listener)
{
    call_ = std::move (call);
    listener_ = listener;
    isActive_ = true;
    ++callsSent_;
    beginAnswer();
    const auto self = shared_from_this();
    if (socket_.isOpen())
    {
        write();
        return;
    }
    socket_.connectTo (address_);
    connectTimer_ = std::make_unique<QTimer>();
    connectTimer_->setSingleShot (true);
    QObject::connect (connectTimer_.get(), &QTimer::timeout, connectTimer_.get(),
                      [this]
                      {
                          const auto held = shared_from_this();
                          if (! socket_.isOpen())
                              fail (BackEndFailure::kNotConnected);
                      });
    connectTimer_->start (std::chrono::duration_cast<base::milliseconds> (connectTimeout_));
}

void BackEndConnection::onConnected()
{
    const auto self = shared_from_this();
    connectTimer_->stop();
    write();
}

void BackEndConnection::write()
{
    socket_.write (call_.bytes);
    call_.bytes.clear();
    if (listener_ != nullptr)
        listener_->onSent();
}

void BackEndConnection::beginAnswer()
{
    isHeadRead_ = false;
    isSurplus_ = false;
    AnswerParser::Handlers handlers;
    handlers.onHead = [this] (AnswerHead head) { onHead (std::move (head)); };
    handlers.onBody = [this] (std::string_view data)
    {
        if (! isSurplus_ && listener_ != nullptr)
            listener_->onBody (data);
    };
    parser_ = std::make_unique<AnswerParser> (call_.answerHasBody, std::move (handlers));
}

void BackEndConnection::onData (std::string_view data)
{
    const auto self = shared_from_this();
    if (! isActive_)
    {
        // Bytes that nobody asked for: they belong to no request.
        isPersistent_ = false;
        return;
    }
    buffer_.append (data);
    parse();
}

void BackEndConnection::parse()
{
    while (isActive_ && ! buffer_.empty())
    {
        const bool isSound = base::handleErrors (
            [&]() -> base::Result<bool>
            {
                BOOST_LEAF_CHECK (parser_->parse (buffer_));
                return true;
            },
            [] (const base::Error&) { return false; });
        if (! isSound)
        {
            fail (BackEndFailure::kNotAnAnswer);
            return;
        }
        if (! parser_->isDone())
            return;
        if (isSurplus_)
        {
            beginAnswer();  // The answer that is due comes after it.
            continue;
        }
        finish();
        return;
    }
}

void BackEndConnection::onHead (AnswerHead head)
{
    constexpr int kFirstFinalStatus = 200;
    const bool isInterim = head.status < kFirstFinalStatus;
    const std::string id = head.headers.value (call_.requestIdHeader);
    const bool isOther = ! call_.requestIdHeader.empty() && ! id.empty() && id != call_.requestId;
    isSurplus_ = isInterim || isOther;
    if (isSurplus_)
        return;
    isHeadRead_ = true;
    isPersistent_ = head.isPersistent;
    const std::string keepAlive = head.headers.value ("Keep-Alive");
    keepAlive_ = keepAliveOf (keepAlive).value_or (kDefaultKeepAlive);
    if (listener_ != nullptr)
        listener_->onHead (std::move (head));
}

void BackEndConnection::onEnd (StreamEnd end)
{
    const auto self = shared_from_this();
    isClosed_ = true;
    if (! isActive_)
        return;
    if (end == StreamEnd::kRefused)
    {
        fail (BackEndFailure::kNotConnected);
        return;
    }
    const bool isWhole =
        end == StreamEnd::kOrderly && isHeadRead_ && ! isSurplus_ && parser_->finishByClose();
    if (isWhole)
    {
        finish();
    }
    else
    {
        fail (BackEndFailure::kClosed);
    }
}

void BackEndConnection::finish()
{
    isActive_ = false;
    // Surplus bytes belong to no request, and a body that is not sent yet would run into the next.
    if (! buffer_.empty() || socket_.bytesToWrite() > 0)
        isPersistent_ = false;
    if (listener_ != nullptr)
        listener_->onDone();
}

void BackEndConnection::fail (BackEndFailure failure)
{
    if (! isActive_)
        return;
    isActive_ = false;
    isPersistent_ = false;
    if (listener_ != nullptr)
        listener_->onFailed (failure);
}

void BackEndConnection::detach()
{
    listener_ = nullptr;
    if (isActive_)
        isPersistent_ = false;
    isActive_ = false;
}

bool BackEndConnection::isReusable (base::TimePoint now) const
{
    const bool isSound =
        ! isActive_ && ! isClosed_ && isPersistent_ && buffer_.empty() && socket_.isOpen();
    return isSound
           && (restsSince_ == base::TimePoint{}
               || now - restsSince_ < keepAlive_ - kKeepAliveMargin);
}

void BackEndConnection::rest (base::TimePoint now) { restsSince_ = now; }

}  // namespace fernlift::http
