#include "http/BackEndConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <QHostAddress>
#include <QTimer>
#include <charconv>
#include <optional>
#include <utility>

namespace fernlift::http {
namespace {

constexpr qint64 kReadBufferBytes = 256LL * 1024;
/// A connection to a runner that does not say how long it keeps one is used again only soon.
constexpr base::Duration kDefaultKeepAlive = base::seconds(2);
/// The runner closes a resting connection at the end of its time; requests in flight then are lost.
constexpr base::Duration kKeepAliveMargin = base::milliseconds(700);
constexpr unsigned kUnacknowledgedTimeoutMs = 4000;

/// The seconds in "timeout=5, max=100"; none when there are none.
std::optional<base::Duration> keepAliveOf(const std::string& value) {
  constexpr std::string_view kTimeout = "timeout=";
  std::size_t begin = value.find(kTimeout);
  begin = begin == std::string::npos ? 0 : begin + kTimeout.size();
  int seconds = 0;
  const auto [end, status] =
      std::from_chars(value.data() + begin, value.data() + value.size(), seconds);
  if (status != std::errc() || seconds < 0) return std::nullopt;
  return base::seconds(seconds);
}

}  // namespace

BackEndConnection::BackEndConnection(base::SocketAddress address, base::Duration connectTimeout)
    : address_(std::move(address)),
      connectTimeout_(connectTimeout),
      socket_(std::make_unique<QTcpSocket>()) {
  socket_->setReadBufferSize(kReadBufferBytes);
  connectSignals();
}

BackEndConnection::~BackEndConnection() {
  socket_->disconnect();
  socket_->abort();
  // The socket may be in the middle of emitting the signal that led here.
  socket_.release()->deleteLater();
}

void BackEndConnection::connectSignals() {
  QTcpSocket* socket = socket_.get();
  // Listeners may drop the connection: each call holds on to it.
  QObject::connect(socket, &QTcpSocket::connected, socket, [this] {
    const auto self = shared_from_this();
    write();
  });
  QObject::connect(socket, &QTcpSocket::readyRead, socket, [this] {
    const auto self = shared_from_this();
    onReadable();
  });
  QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [this] {
    const auto self = shared_from_this();
    onClosed();
  });
}

void BackEndConnection::send(Call call, AnswerListener* listener) {
  call_ = std::move(call);
  listener_ = listener;
  isActive_ = true;
  ++callsSent_;
  beginAnswer();
  const auto self = shared_from_this();
  if (socket_->state() == QAbstractSocket::ConnectedState) {
    write();
    return;
  }
  socket_->connectToHost(QHostAddress(QString::fromStdString(address_.host)), address_.port);
  QTimer::singleShot(std::chrono::duration_cast<base::milliseconds>(connectTimeout_), socket_.get(),
                     [this] {
                       const auto self = shared_from_this();
                       if (socket_->state() != QAbstractSocket::ConnectedState) {
                         fail(BackEndFailure::kNotConnected);
                       }
                     });
}

void BackEndConnection::write() {
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  ::setsockopt(static_cast<int>(socket_->socketDescriptor()), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kUnacknowledgedTimeoutMs, sizeof kUnacknowledgedTimeoutMs);
  socket_->write(call_.bytes.data(), static_cast<qint64>(call_.bytes.size()));
  socket_->flush();
  if (listener_ != nullptr) listener_->onSent();
}

void BackEndConnection::beginAnswer() {
  isHeadRead_ = false;
  isSurplus_ = false;
  AnswerParser::Handlers handlers;
  handlers.onHead = [this](AnswerHead head) { onHead(std::move(head)); };
  handlers.onBody = [this](std::string_view data) {
    if (!isSurplus_ && listener_ != nullptr) listener_->onBody(data);
  };
  parser_ = std::make_unique<AnswerParser>(call_.answerHasBody, std::move(handlers));
}

void BackEndConnection::onReadable() {
  if (!isActive_) {
    // Bytes that nobody asked for: they belong to no request.
    isPersistent_ = false;
    return;
  }
  const QByteArray bytes = socket_->readAll();
  buffer_.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
  parse();
}

void BackEndConnection::parse() {
  while (isActive_ && !buffer_.empty()) {
    const bool isSound = base::handleErrors(
        [&]() -> base::Result<bool> {
          BOOST_LEAF_CHECK(parser_->parse(buffer_));
          return true;
        },
        [](const base::Error&) { return false; });
    if (!isSound) {
      fail(BackEndFailure::kNotAnAnswer);
      return;
    }
    if (!parser_->isDone()) return;
    if (isSurplus_) {
      beginAnswer();  // The answer that is due comes after it.
      continue;
    }
    finish();
    return;
  }
}

void BackEndConnection::onHead(AnswerHead head) {
  constexpr int kFirstFinalStatus = 200;
  const bool isInterim = head.status < kFirstFinalStatus;
  const std::string id = head.headers.value(call_.requestIdHeader);
  const bool isOther = !call_.requestIdHeader.empty() && !id.empty() && id != call_.requestId;
  isSurplus_ = isInterim || isOther;
  if (isSurplus_) return;
  isHeadRead_ = true;
  isPersistent_ = head.isPersistent;
  const std::string keepAlive = head.headers.value("Keep-Alive");
  keepAlive_ = keepAliveOf(keepAlive).value_or(kDefaultKeepAlive);
  if (listener_ != nullptr) listener_->onHead(std::move(head));
}

void BackEndConnection::onClosed() {
  const bool isOrderly = socket_->error() == QAbstractSocket::RemoteHostClosedError;
  isClosed_ = true;
  if (!isActive_) return;
  if (callsSent_ == 1 && socket_->error() == QAbstractSocket::ConnectionRefusedError) {
    fail(BackEndFailure::kNotConnected);
    return;
  }
  if (socket_->bytesAvailable() > 0) onReadable();
  if (!isActive_) return;
  const bool isWritten = socket_->bytesToWrite() == 0;
  const bool isWhole =
      isOrderly && isWritten && isHeadRead_ && !isSurplus_ && parser_->finishByClose();
  if (isWhole) {
    finish();
  } else {
    fail(BackEndFailure::kClosed);
  }
}

void BackEndConnection::finish() {
  isActive_ = false;
  // Surplus bytes belong to no request, and a body that is not sent yet would run into the next.
  if (!buffer_.empty() || socket_->bytesToWrite() > 0) isPersistent_ = false;
  if (listener_ != nullptr) listener_->onDone();
}

void BackEndConnection::fail(BackEndFailure failure) {
  if (!isActive_) return;
  isActive_ = false;
  isPersistent_ = false;
  if (listener_ != nullptr) listener_->onFailed(failure);
}

void BackEndConnection::detach() {
  listener_ = nullptr;
  if (isActive_) isPersistent_ = false;
  isActive_ = false;
}

bool BackEndConnection::isReusable(base::TimePoint now) const {
  const bool isSound = !isActive_ && !isClosed_ && isPersistent_ && buffer_.empty() &&
                       socket_->bytesAvailable() == 0 &&
                       socket_->state() == QAbstractSocket::ConnectedState;
  return isSound &&
         (restsSince_ == base::TimePoint{} || now - restsSince_ < keepAlive_ - kKeepAliveMargin);
}

void BackEndConnection::rest(base::TimePoint now) { restsSince_ = now; }

}  // namespace fernlift::http
