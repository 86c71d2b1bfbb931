#pragma once

/// Incremental parser of the HTTP/1.1 requests of one connection, based on Boost.Beast.

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/Error.h"
#include "http/Message.h"

namespace fernlift::proxy
{

/// Size limits of a request.
struct RequestLimits
{
    /// Also the limit of the trailers, and of the line that begins a chunk.
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 4UL * 1024 * 1024;
};

/// Complete request as received, except for the framing of its body.
struct ParsedRequest
{
    std::string method;
    std::string target;  ///< Path and query as sent.
    http::Headers headers;
    std::string body;
    bool wantsClose = false;      ///< Whether the connection closes after the answer.
    bool isHttp10 = false;        ///< Whether the caller cannot parse chunks.
    bool hasBodyFraming = false;  ///< Whether a length or chunks were stated, even for an empty
                                  ///< body.

    /// Target without its query.
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

    /// Consumes bytes at the front of `buffer` until one request is complete or more bytes are
    /// needed. Fails with kHeaderTooLarge, kBodyTooLarge, kUnsupportedFraming or kInvalidRequest.
    base::Result<void> parse (std::string& buffer);
    [[nodiscard]] State state() const;
    /// Whether the header is complete and the caller waits for "100 Continue". Returns true once
    /// per request.
    [[nodiscard]] bool takeExpectsContinue();
    /// Bytes that are kept of the present request.
    [[nodiscard]] std::size_t keptBytes() const;
    /// Drops what was read of the present request.
    void discard();
    /// Returns the complete request and resets the parser for the next one.
    ParsedRequest take();
    void setLimits (RequestLimits limits) { m_limits = limits; }

private:
    class Implementation;
    base::Result<void> parseAvailable (std::string& buffer);

    RequestLimits m_limits;
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::proxy
