#pragma once

/// Incremental parser of HTTP/1.1 requests of one connection, on Boost.Beast's parser.

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/Error.h"
#include "http/Message.h"

namespace fernlift::proxy
{

/// Bounds on one request.
struct RequestLimits
{
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 4UL * 1024 * 1024;
};

/// A whole request, as it came but for the framing of its body.
struct ParsedRequest
{
    std::string method;
    std::string target;  ///< Path and query, as sent.
    http::Headers headers;
    std::string body;
    bool wantsClose = false;      ///< The connection ends after the answer.
    bool isHttp10 = false;        ///< The caller cannot read chunks.
    bool hasBodyFraming = false;  ///< A length or chunks were stated, also for an empty body.

    /// The target without its query.
    [[nodiscard]] std::string_view path() const
    {
        return std::string_view (target).substr (0, target.find ('?'));
    }
};

class RequestParser
{
public:
    enum class State : std::uint8_t
    {
        kIdle,
        kReading,
        kDone
    };

    explicit RequestParser (RequestLimits limits);
    ~RequestParser();
    RequestParser (const RequestParser&) = delete;
    RequestParser& operator= (const RequestParser&) = delete;

    /// Takes bytes off the front of `buffer` until one request is whole or more bytes are needed.
    /// Fails with kHeaderTooLarge, kBodyTooLarge, kUnsupportedFraming or kInvalidRequest.
    base::Result<void> parse (std::string& buffer);
    [[nodiscard]] State state() const;
    /// Whether the header is read and the caller waits to be told to send the body.
    [[nodiscard]] bool takeExpectsContinue();
    /// The request; the parser is then ready for the next one.
    ParsedRequest take();
    void setLimits (RequestLimits limits) { m_limits = limits; }

private:
    class Implementation;
    RequestLimits m_limits;
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::proxy
