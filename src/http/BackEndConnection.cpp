#include "http/BackEndConnection.h"

#include <QTimer>
#include <algorithm>
#include <charconv>
#include <functional>
#include <optional>
#include <utility>

namespace fernlift::http
{
namespace
{

/// Connections are not reused this long before the end of their keep-alive time: the runner closes
/// them at its end, and requests in flight at that moment are lost.
constexpr base::Duration kKeepAliveMargin = base::milliseconds (700);

/// Interim answers, and answers to earlier requests, after which the connection is given up.
constexpr std::size_t kMaxDiscardedAnswers = 32;

/// Requests after which a late copy of an answer is no longer expected.
constexpr std::size_t kMaxCarriedIds = 64;

/// Parses the seconds in "timeout=5, max=100"; nothing if there are none.
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

BackEndConnection::BackEndConnection (base::SocketAddress address, base::Duration connectTimeout,
                                      base::Duration defaultKeepAlive)
    : m_address (std::move (address)),
      m_connectTimeout (connectTimeout),
      m_defaultKeepAlive (defaultKeepAlive)
{
}

BackEndConnection::~BackEndConnection() = default;

void BackEndConnection::send (Call call, AnswerListener* listener)
{
    m_call = std::move (call);
    m_listener = listener;
    m_isActive = true;
    ++m_callsSent;
    remember (m_call.requestId);
    m_discardedAnswers = 0;
    beginAnswer();
    const auto self = shared_from_this();
    if (m_socket.isOpen())
    {
        write();
        return;
    }
    m_socket.connectTo (m_address);
    m_connectTimer = std::make_unique<QTimer>();
    m_connectTimer->setSingleShot (true);
    QObject::connect (m_connectTimer.get(), &QTimer::timeout, m_connectTimer.get(),
                      [this]
                      {
                          const auto held = shared_from_this();
                          if (! m_socket.isOpen())
                              fail (BackEndFailure::kNotConnected);
                      });
    m_connectTimer->start (std::chrono::duration_cast<base::milliseconds> (m_connectTimeout));
}

void BackEndConnection::onConnected()
{
    const auto self = shared_from_this();
    m_connectTimer->stop();
    write();
}

void BackEndConnection::write()
{
    m_socket.write (m_call.bytes);
    m_call.bytes.clear();
    if (m_listener != nullptr)
        m_listener->onSent();
    if (m_socket.bytesToWrite() == 0)
        onFlushed();
}

void BackEndConnection::onFlushed()
{
    if (m_isActive && m_listener != nullptr)
        m_listener->onFlushed();
}

void BackEndConnection::beginAnswer()
{
    m_isHeadRead = false;
    m_isStale = false;
    AnswerParser::Handlers handlers;
    handlers.onHead = [this] (AnswerHead head) { onHead (std::move (head)); };
    handlers.onBody = [this] (std::string_view data)
    {
        if (! m_isStale && m_listener != nullptr)
            m_listener->onBody (data);
    };
    m_parser = std::make_unique<AnswerParser> (m_call.answerHasBody, std::move (handlers));
}

void BackEndConnection::onData (std::string_view data)
{
    const auto self = shared_from_this();
    if (! m_isActive)
    {
        // Unsolicited bytes belong to no request; the connection must not be reused.
        m_isPersistent = false;
        return;
    }
    m_buffer.append (data);
    parse();
}

void BackEndConnection::parse()
{
    while (m_isActive && ! m_buffer.empty())
    {
        const bool isValid = base::handleErrors (
            [&]() -> base::Result<bool>
            {
                BOOST_LEAF_CHECK (m_parser->parse (m_buffer));
                return true;
            },
            [] (const base::Error&) { return false; });
        if (! isValid)
        {
            fail (BackEndFailure::kInvalidAnswer);
            return;
        }
        if (! m_parser->isDone())
            return;
        if (! m_isStale)
        {
            finish();
            return;
        }
        if (++m_discardedAnswers > kMaxDiscardedAnswers)
        {
            fail (BackEndFailure::kInvalidAnswer);
            return;
        }
        beginAnswer();  // The answer to this call follows.
    }
}

void BackEndConnection::onHead (AnswerHead head)
{
    constexpr int kFirstFinalStatus = 200;
    const bool isInterim = head.status < kFirstFinalStatus;
    const std::string id = head.headers.value (m_call.requestIdHeader);
    const bool isOther = ! m_call.requestIdHeader.empty() && ! id.empty() && id != m_call.requestId;
    m_isStale = isInterim || isOther;
    if (m_isStale)
        return;
    m_isHeadRead = true;
    // A late copy of an answer without an id could not be told from the answer to another request.
    const bool lacksId = ! m_call.requestIdHeader.empty() && id.empty();
    m_isPersistent = head.isPersistent && ! lacksId;
    const std::string keepAlive = head.headers.value ("Keep-Alive");
    m_keepAlive = keepAliveOf (keepAlive).value_or (m_defaultKeepAlive);
    if (m_listener != nullptr)
        m_listener->onHead (std::move (head));
}

void BackEndConnection::remember (std::string_view requestId)
{
    if (requestId.empty())
        return;
    if (m_carriedIds.size() == kMaxCarriedIds)
        m_carriedIds.pop_front();
    m_carriedIds.push_back (std::hash<std::string_view>{}(requestId));
}

bool BackEndConnection::hasCarried (std::string_view requestId) const
{
    return ! requestId.empty()
           && std::ranges::find (m_carriedIds, std::hash<std::string_view>{}(requestId))
                  != m_carriedIds.end();
}

void BackEndConnection::onEnd (StreamEnd end)
{
    const auto self = shared_from_this();
    m_isClosed = true;
    if (! m_isActive)
        return;
    if (end == StreamEnd::kRefused)
    {
        fail (BackEndFailure::kNotConnected);
        return;
    }
    const bool isWhole =
        end == StreamEnd::kOrderly && m_isHeadRead && ! m_isStale && m_parser->finishByClose();
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
    m_isActive = false;
    // Surplus bytes belong to no request, and an unsent remainder of the request body would run
    // into the next request.
    if (! m_buffer.empty() || m_socket.bytesToWrite() > 0)
        m_isPersistent = false;
    if (m_listener != nullptr)
        m_listener->onDone();
}

void BackEndConnection::fail (BackEndFailure failure)
{
    if (! m_isActive)
        return;
    m_isActive = false;
    m_isPersistent = false;
    if (m_listener != nullptr)
        m_listener->onFailed (failure);
}

void BackEndConnection::detach()
{
    m_listener = nullptr;
    if (m_isActive)
        m_isPersistent = false;
    m_isActive = false;
    setPaused (false);
}

bool BackEndConnection::isReusable (base::TimePoint now) const
{
    const bool isValid =
        ! m_isActive && ! m_isClosed && m_isPersistent && m_buffer.empty() && m_socket.isOpen();
    return isValid
           && (m_idleSince == base::TimePoint{}
               || now - m_idleSince < m_keepAlive - kKeepAliveMargin);
}

void BackEndConnection::markIdle (base::TimePoint now) { m_idleSince = now; }

}  // namespace fernlift::http
