#include "http/ClientExchange.h"

#include <QNetworkRequest>
#include <QUrl>
#include <charconv>
#include <chrono>
#include <utility>

namespace fernlift::http
{
namespace
{

constexpr const char* kUserAgent = "fernlift";
constexpr std::uint64_t kReadBytes = 64UL * 1024;

bool isFramingField (std::string_view name)
{
    return equalsIgnoringCase (name, "Content-Length") || equalsIgnoringCase (name, "Connection")
           || equalsIgnoringCase (name, "Transfer-Encoding") || equalsIgnoringCase (name, "Host");
}

/// Methods that may be sent without a body source: Qt may send them a second time, which is
/// harmless for these.
bool isSafeMethod (std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

/// Whether Qt derived the error from the status code of a complete answer.
bool comesFromStatus (QNetworkReply::NetworkError error)
{
    const bool isContentError = error >= QNetworkReply::ContentAccessDenied
                                && error <= QNetworkReply::UnknownContentError
                                && error != QNetworkReply::ContentReSendError;
    const bool isServerError =
        error >= QNetworkReply::InternalServerError && error <= QNetworkReply::UnknownServerError;
    // Qt reports 400 and 418 as protocol errors and 407 as a proxy error.
    const bool isOtherStatusError = error == QNetworkReply::ProtocolInvalidOperationError
                                    || error == QNetworkReply::ProxyAuthenticationRequiredError;
    return error == QNetworkReply::NoError || isContentError || isServerError || isOtherStatusError;
}

}  // namespace

ClientExchange::ClientExchange (ClientRequest request, ClientCallbacks callbacks,
                                DoneCallback onDone)
    : m_request (std::move (request)),
      m_callbacks (std::move (callbacks)),
      m_onDone (std::move (onDone)),
      m_body (std::move (m_request.body)),
      m_hasBody (! isSafeMethod (m_request.method) || m_body.bytesAvailable() > 0)
{
    m_timer.setSingleShot (true);
    connect (&m_timer, &QTimer::timeout, this, [this] { onTimeout(); });
}

ClientExchange::~ClientExchange() { cancel(); }

QNetworkRequest ClientExchange::buildRequest (const std::string& slotName) const
{
    const std::string url = "http://" + m_request.address.toString() + m_request.path;
    QNetworkRequest request (QUrl::fromEncoded (QByteArray::fromStdString (url)));
    request.setPeerVerifyName (QString::fromStdString (slotName));
    request.setAttribute (QNetworkRequest::Http2AllowedAttribute, false);
    request.setAttribute (QNetworkRequest::RedirectPolicyAttribute,
                          QNetworkRequest::ManualRedirectPolicy);
    request.setAttribute (QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
    request.setAttribute (QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
    request.setAttribute (QNetworkRequest::AuthenticationReuseAttribute, QNetworkRequest::Manual);
    request.setAttribute (QNetworkRequest::CacheLoadControlAttribute,
                          QNetworkRequest::AlwaysNetwork);
    request.setAttribute (QNetworkRequest::CacheSaveControlAttribute, false);
    request.setAttribute (QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    request.setRawHeader ("User-Agent", kUserAgent);
    request.setRawHeader ("Accept-Encoding", "identity");
    request.setRawHeader ("Accept-Language", "*");
    for (const Header& field : m_request.headers.fields())
    {
        if (isFramingField (field.name))
            continue;
        request.setRawHeader (QByteArray::fromStdString (field.name),
                              QByteArray::fromStdString (field.value));
    }
    if (m_request.needsFreshConnection)
        request.setRawHeader ("Connection", "close");
    if (m_hasBody)
        request.setHeader (QNetworkRequest::ContentLengthHeader, m_body.bytesAvailable());
    return request;
}

void ClientExchange::start (QNetworkAccessManager& manager, const std::string& slotName)
{
    const QNetworkRequest request = buildRequest (slotName);
    const QByteArray verb = QByteArray::fromStdString (m_request.method);
    startTimer (m_request.connectTimeout);
    // With HEAD as a custom method, Qt would wait for a body that never arrives.
    const bool isHead = verb == "HEAD" && ! m_hasBody;
    m_reply = isHead ? manager.head (request)
                     : manager.sendCustomRequest (request, verb, m_hasBody ? &m_body : nullptr);
    connect (m_reply, &QNetworkReply::requestSent, this, [this] { onRequestSent(); });
    connect (m_reply, &QNetworkReply::metaDataChanged, this, [this] { deliverHeaders(); });
    connect (m_reply, &QNetworkReply::readyRead, this, [this] { onReadable(); });
    connect (m_reply, &QNetworkReply::finished, this, [this] { onFinished(); });
}

void ClientExchange::onRequestSent()
{
    m_wasSent = true;
    // Qt forwards the size to its network thread only after that thread has started the request.
    m_reply->setReadBufferSize (static_cast<qint64> (m_request.readBufferBytes));
    if (! m_hasHeaders)
        startTimer (m_request.headersTimeout);
}

void ClientExchange::deliverHeaders()
{
    const QVariant status = m_reply->attribute (QNetworkRequest::HttpStatusCodeAttribute);
    if (m_hasHeaders || m_isDone || ! status.isValid())
        return;
    m_hasHeaders = true;
    m_response.status = status.toInt();
    for (const auto& [name, value] : m_reply->rawHeaderPairs())
    {
        m_response.headers.add (name.toStdString(), value.toStdString());
    }
    startTimer (m_request.idleTimeout);
    if (m_callbacks.onHeaders)
        m_callbacks.onHeaders (m_response);
}

void ClientExchange::onReadable()
{
    deliverHeaders();
    deliverData();
}

void ClientExchange::deliverData()
{
    while (! m_isDone && ! m_isPaused && m_reply->bytesAvailable() > 0)
    {
        const QByteArray part = m_reply->read (kReadBytes);
        if (part.isEmpty())
            break;
        m_received += static_cast<std::uint64_t> (part.size());
        startTimer (m_request.idleTimeout);
        if (m_callbacks.onData)
        {
            m_callbacks.onData (
                std::string_view (part.constData(), static_cast<std::size_t> (part.size())));
        }
    }
}

void ClientExchange::setPaused (bool isPaused)
{
    if (m_isDone || m_isPaused == isPaused)
        return;
    m_isPaused = isPaused;
    if (isPaused)
    {
        m_timer.stop();
        return;
    }
    startTimer (m_hasHeaders ? m_request.idleTimeout : m_request.headersTimeout);
    // Deferred to the event loop, so that no callback runs from within setPaused().
    QTimer::singleShot (0, this,
                        [this]
                        {
                            deliverData();
                            if (m_isFinished)
                                complete();
                        });
}

void ClientExchange::onFinished()
{
    m_isFinished = true;
    deliverHeaders();
    deliverData();
    complete();
}

void ClientExchange::complete()
{
    if (m_isDone || (m_isPaused && m_reply->bytesAvailable() > 0))
        return;
    if (! isWhole())
    {
        failWith (errorOfReply());
        return;
    }
    const auto callback = std::move (m_callbacks.onEnd);
    finish (true);
    if (callback)
        callback();
}

bool ClientExchange::isWhole() const
{
    if (! m_hasHeaders || ! comesFromStatus (m_reply->error()))
        return false;
    const std::string length = m_response.headers.value ("Content-Length");
    std::uint64_t expected = 0;
    const auto [end, status] =
        std::from_chars (length.data(), length.data() + length.size(), expected);
    const bool hasLength = ! length.empty() && status == std::errc();
    return ! hasLength || m_request.method == "HEAD" || m_received == expected;
}

ClientError ClientExchange::errorOfReply() const
{
    const bool isRefused = m_reply->error() == QNetworkReply::ConnectionRefusedError;
    const bool nothingSent = ! m_wasSent && ! m_body.wasRead() && ! m_hasHeaders;
    const ClientErrorKind kind =
        isRefused && nothingSent ? ClientErrorKind::kNotSent : ClientErrorKind::kBroken;
    const std::string message = m_reply->error() == QNetworkReply::NoError
                                    ? "answer truncated: length differs from its Content-Length"
                                    : m_reply->errorString().toStdString();
    return ClientError{ kind, message };
}

void ClientExchange::onTimeout()
{
    if (m_isDone)
        return;
    failWith (ClientError{ ClientErrorKind::kTimeout, m_hasHeaders
                                                          ? "answer stalled: idle timeout exceeded"
                                                          : "no answer within the timeout" });
}

void ClientExchange::failWith (const ClientError& error)
{
    const auto callback = std::move (m_callbacks.onError);
    finish (false);
    if (callback)
        callback (error);
}

void ClientExchange::cancel()
{
    if (! m_isDone)
        finish (false);
}

void ClientExchange::finish (bool isReusable)
{
    m_isDone = true;
    m_timer.stop();
    if (m_reply != nullptr)
    {
        m_reply->disconnect (this);
        if (! m_isFinished)
            m_reply->abort();
        m_reply->deleteLater();
        m_reply = nullptr;
    }
    const bool isOpen = ! equalsIgnoringCase (m_response.headers.value ("Connection"), "close");
    const auto onDone = std::exchange (m_onDone, nullptr);
    if (onDone)
        onDone (isReusable, isOpen);
}

void ClientExchange::startTimer (base::Duration duration)
{
    if (m_isPaused)
        return;
    m_timer.start (std::chrono::ceil<std::chrono::milliseconds> (duration));
}

}  // namespace fernlift::http
