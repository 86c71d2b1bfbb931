#pragma once

/// Incremental reader of HTTP/1.1 requests that validates their framing. Does no I/O of its own.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/Error.h"
#include "http/Message.h"

namespace fernlift::http
{

/// Size limits of one request.
struct ReaderLimits
{
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
};

/// Reads one request at a time and buffers no more than its limits. Rejects every request that two
/// parsers could interpret differently (request smuggling): bare line feeds, folded lines, more
/// than one Content-Length, both Content-Length and Transfer-Encoding, codings other than chunked.
class RequestReader
{
public:
    enum class State : std::uint8_t
    {
        kIdle,
        kHeaders,
        kBody,
        kComplete,
        kFailed
    };

    explicit RequestReader (ReaderLimits limits) : m_limits (limits) {}

    /// Consumes bytes up to the end of the current request and returns their number.
    std::size_t feed (std::string_view bytes);
    [[nodiscard]] State state() const { return m_state; }
    /// The reason of the failure; valid in kFailed.
    [[nodiscard]] const base::Error& error() const { return m_error; }

    // Valid from kBody on.
    [[nodiscard]] const std::string& method() const { return m_method; }
    [[nodiscard]] const std::string& target() const { return m_target; }
    [[nodiscard]] const Headers& headers() const { return m_headers; }
    [[nodiscard]] bool isVersion10() const { return m_isVersion10; }
    [[nodiscard]] bool wantsClose() const;
    [[nodiscard]] bool expectsContinue() const;

    /// Bytes that are kept of the present request.
    [[nodiscard]] std::size_t keptBytes() const;

    /// Serializes the complete request in canonical form: with Content-Length, without
    /// Transfer-Encoding, Connection, Upgrade and Expect. Moves the body out.
    [[nodiscard]] std::string takeCanonicalBytes();
    /// Resets the state to read the next request.
    void reset();

private:
    enum class BodyPart : std::uint8_t
    {
        kPlain,
        kChunkSize,
        kChunkData,
        kChunkEnd,
        kTrailers,
    };

    std::size_t feedHeaders (std::string_view bytes);
    std::size_t feedBody (std::string_view bytes);
    std::size_t feedData (std::string_view bytes);
    std::size_t feedLine (std::string_view bytes);
    void parseHeaderBlock();
    bool parseRequestLine (std::string_view line);
    bool parseHeaderLine (std::string_view line);
    void beginBody();
    void beginPlainBody();
    void beginChunkedBody();
    void onChunkLine (std::string_view line);
    void onChunkSize (std::string_view line);
    void fail (base::ErrorKind kind, std::string message);

    ReaderLimits m_limits;
    State m_state = State::kIdle;
    base::Error m_error;
    std::string m_headerBlock;
    std::string m_method;
    std::string m_target;
    Headers m_headers;
    bool m_isVersion10 = false;
    std::string m_body;
    BodyPart m_bodyPart = BodyPart::kPlain;
    std::size_t m_remaining = 0;  ///< Bytes missing of the plain body or current chunk.
    std::string m_line;           ///< Incomplete chunk-size or trailer line.
    std::size_t m_trailerBytes = 0;
};

}  // namespace fernlift::http
