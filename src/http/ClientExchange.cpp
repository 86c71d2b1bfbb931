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

/// Methods that a back end may see twice without harm, so that they may go without a body.
bool isSafeMethod (std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

/// Errors that Qt derives from the status code of a whole answer.
bool comesFromStatus (QNetworkReply::NetworkError error)
{
    const bool isContentError = error >= QNetworkReply::ContentAccessDenied
                                && error <= QNetworkReply::UnknownContentError
                                && error != QNetworkReply::ContentReSendError;
    const bool isServerError =
        error >= QNetworkReply::InternalServerError && error <= QNetworkReply::UnknownServerError;
    // Qt files 400, 418 and 407 under errors of the protocol and of a proxy.
    const bool isOtherStatusError = error == QNetworkReply::ProtocolInvalidOperationError
                                    || error == QNetworkReply::ProxyAuthenticationRequiredError;
    return error == QNetworkReply::NoError || isContentError || isServerError || isOtherStatusError;
}

}  // namespace

ClientExchange::ClientExchange (ClientRequest request, ClientCallbacks callbacks,
                                DoneCallback onDone)
    : request_ (std::move (request)),
      callbacks_ (std::move (callbacks)),
      onDone_ (std::move (onDone)),
      body_ (std::move (request_.body)),
      hasBody_ (! isSafeMethod (request_.method) || body_.bytesAvailable() > 0)
{
    timer_.setSingleShot (true);
    connect (&timer_, &QTimer::timeout, this, [this] { onTimeout(); });
}

ClientExchange::~ClientExchange() { cancel(); }

QNetworkRequest ClientExchange::buildRequest (const std::string& slotName) const
{
    const std::string url = "http://" + request_.address.toString() + request_.path;
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
    for (const Header& field : request_.headers.fields())
    {
        if (isFramingField (field.name))
            continue;
        request.setRawHeader (QByteArray::fromStdString (field.name),
                              QByteArray::fromStdString (field.value));
    }
    if (request_.needsFreshConnection)
        request.setRawHeader ("Connection", "close");
    if (hasBody_)
        request.setHeader (QNetworkRequest::ContentLengthHeader, body_.bytesAvailable());
    return request;
}

void ClientExchange::start (QNetworkAccessManager& manager, const std::string& slotName)
{
    const QNetworkRequest request = buildRequest (slotName);
    const QByteArray verb = QByteArray::fromStdString (request_.method);
    startTimer (request_.connectTimeout);
    // As a custom method Qt would wait for a body that never comes.
    const bool isHead = verb == "HEAD" && ! hasBody_;
    reply_ = isHead ? manager.head (request)
                    : manager.sendCustomRequest (request, verb, hasBody_ ? &body_ : nullptr);
    connect (reply_, &QNetworkReply::requestSent, this, [this] { onRequestSent(); });
    connect (reply_, &QNetworkReply::metaDataChanged, this, [this] { deliverHeaders(); });
    connect (reply_, &QNetworkReply::readyRead, this, [this] { onReadable(); });
    connect (reply_, &QNetworkReply::finished, this, [this] { onFinished(); });
}

void ClientExchange::onRequestSent()
{
    wasSent_ = true;
    // Qt passes the size on to its network thread only once that has taken up the request.
    reply_->setReadBufferSize (static_cast<qint64> (request_.readBufferBytes));
    if (! hasHeaders_)
        startTimer (request_.headersTimeout);
}

void ClientExchange::deliverHeaders()
{
    const QVariant status = reply_->attribute (QNetworkRequest::HttpStatusCodeAttribute);
    if (hasHeaders_ || isDone_ || ! status.isValid())
        return;
    hasHeaders_ = true;
    response_.status = status.toInt();
    for (const auto& [name, value] : reply_->rawHeaderPairs())
    {
        response_.headers.add (name.toStdString(), value.toStdString());
    }
    startTimer (request_.idleTimeout);
    if (callbacks_.onHeaders)
        callbacks_.onHeaders (response_);
}

void ClientExchange::onReadable()
{
    deliverHeaders();
    deliverData();
}

void ClientExchange::deliverData()
{
    while (! isDone_ && ! isPaused_ && reply_->bytesAvailable() > 0)
    {
        const QByteArray part = reply_->read (kReadBytes);
        if (part.isEmpty())
            break;
        received_ += static_cast<std::uint64_t> (part.size());
        startTimer (request_.idleTimeout);
        if (callbacks_.onData)
        {
            callbacks_.onData (
                std::string_view (part.constData(), static_cast<std::size_t> (part.size())));
        }
    }
}

void ClientExchange::setPaused (bool isPaused)
{
    if (isDone_ || isPaused_ == isPaused)
        return;
    isPaused_ = isPaused;
    if (isPaused)
    {
        timer_.stop();
        return;
    }
    startTimer (hasHeaders_ ? request_.idleTimeout : request_.headersTimeout);
    // Not from within the caller's own call.
    QTimer::singleShot (0, this,
                        [this]
                        {
                            deliverData();
                            if (isFinished_)
                                complete();
                        });
}

void ClientExchange::onFinished()
{
    isFinished_ = true;
    deliverHeaders();
    deliverData();
    complete();
}

void ClientExchange::complete()
{
    if (isDone_ || (isPaused_ && reply_->bytesAvailable() > 0))
        return;
    if (! isWhole())
    {
        failWith (errorOfReply());
        return;
    }
    const auto callback = std::move (callbacks_.onEnd);
    finish (true);
    if (callback)
        callback();
}

bool ClientExchange::isWhole() const
{
    if (! hasHeaders_ || ! comesFromStatus (reply_->error()))
        return false;
    const std::string length = response_.headers.value ("Content-Length");
    std::uint64_t expected = 0;
    const auto [end, status] =
        std::from_chars (length.data(), length.data() + length.size(), expected);
    const bool hasLength = ! length.empty() && status == std::errc();
    return ! hasLength || request_.method == "HEAD" || received_ == expected;
}

ClientError ClientExchange::errorOfReply() const
{
    const bool isRefused = reply_->error() == QNetworkReply::ConnectionRefusedError;
    const bool nothingSent = ! wasSent_ && ! body_.wasRead() && ! hasHeaders_;
    const ClientErrorKind kind =
        isRefused && nothingSent ? ClientErrorKind::kNotSent : ClientErrorKind::kBroken;
    const std::string message = reply_->error() == QNetworkReply::NoError
                                    ? "the answer ended before its Content-Length"
                                    : reply_->errorString().toStdString();
    return ClientError{ kind, message };
}

void ClientExchange::onTimeout()
{
    if (isDone_)
        return;
    failWith (ClientError{ ClientErrorKind::kTimeout,
                           hasHeaders_ ? "the answer stalled" : "no answer in time" });
}

void ClientExchange::failWith (const ClientError& error)
{
    const auto callback = std::move (callbacks_.onError);
    finish (false);
    if (callback)
        callback (error);
}

void ClientExchange::cancel()
{
    if (! isDone_)
        finish (false);
}

void ClientExchange::finish (bool isReusable)
{
    isDone_ = true;
    timer_.stop();
    if (reply_ != nullptr)
    {
        reply_->disconnect (this);
        if (! isFinished_)
            reply_->abort();
        reply_->deleteLater();
        reply_ = nullptr;
    }
    const bool isOpen = ! equalsIgnoringCase (response_.headers.value ("Connection"), "close");
    const auto onDone = std::exchange (onDone_, nullptr);
    if (onDone)
        onDone (isReusable, isOpen);
}

void ClientExchange::startTimer (base::Duration duration)
{
    if (isPaused_)
        return;
    timer_.start (std::chrono::ceil<std::chrono::milliseconds> (duration));
}

}  // namespace fernlift::http
