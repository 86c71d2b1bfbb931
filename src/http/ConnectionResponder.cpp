#include "http/ConnectionResponder.h"

#include <string>

#include "http/ErrorResponse.h"

namespace fernlift::http
{

ConnectionResponder::~ConnectionResponder()
{
    if (! isOpen())
        return;
    if (state_ == State::kNew)
    {
        errorResponse (base::Error{ base::ErrorKind::kInternal, "the request was not answered" })
            .sendTo (*this);
    }
    else
    {
        abort();
    }
}

void ConnectionResponder::send (int status, const Headers& headers, std::string_view body)
{
    if (! isOpen() || state_ != State::kNew)
        return;
    Headers whole = headers;
    whole.set ("Content-Length", std::to_string (body.size()));
    connection_->beginAnswer (status, whole, true);
    connection_->writeAnswer (body);
    finish();
}

void ConnectionResponder::begin (int status, const Headers& headers)
{
    if (! isOpen() || state_ != State::kNew)
        return;
    state_ = State::kBegun;
    connection_->beginAnswer (status, headers, headers.contains ("Content-Length"));
}

void ConnectionResponder::write (std::string_view data)
{
    if (isOpen() && state_ == State::kBegun)
        connection_->writeAnswer (data);
}

void ConnectionResponder::end()
{
    if (isOpen() && state_ == State::kBegun)
        finish();
}

void ConnectionResponder::abort()
{
    if (! isOpen())
        return;
    state_ = State::kDone;
    connection_->abortAnswer();
}

std::size_t ConnectionResponder::bytesToWrite() const
{
    return connection_ ? connection_->bytesToWrite() : 0;
}

void ConnectionResponder::notifyClosed()
{
    if (state_ == State::kDone)
        return;
    state_ = State::kDone;
    drained_ = nullptr;
    const auto callback = std::exchange (closed_, nullptr);
    if (callback)
        callback();
}

void ConnectionResponder::notifyDrained()
{
    const auto callback = drained_;
    if (callback)
        callback();
}

void ConnectionResponder::finish()
{
    state_ = State::kDone;
    closed_ = nullptr;
    drained_ = nullptr;
    connection_->endAnswer();
}

}  // namespace fernlift::http
