#pragma once

/// Incremental check of the framing of HTTP/1.1 requests. Pure: bytes in, whole requests out.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/Error.h"
#include "http/Message.h"

namespace fernlift::http
{

/// Bounds on one request.
struct ReaderLimits
{
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
};

/// Reads one request at a time and holds at most its limits in memory. Anything that two parsers
/// could understand differently is refused: bare line feeds, folded lines, more than one
/// Content-Length, both Content-Length and Transfer-Encoding, codings other than chunked.
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

    /// Consumes bytes up to the end of the current request and returns how many.
    std::size_t feed (std::string_view bytes);
    [[nodiscard]] State state() const { return m_state; }
    /// What was wrong; valid in kFailed.
    [[nodiscard]] const base::Error& error() const { return m_error; }

    // Valid from kBody on.
    [[nodiscard]] const std::string& method() const { return m_method; }
    [[nodiscard]] const std::string& target() const { return m_target; }
    [[nodiscard]] const Headers& headers() const { return m_headers; }
    [[nodiscard]] bool isVersion10() const { return m_isVersion10; }
    [[nodiscard]] bool wantsClose() const;
    [[nodiscard]] bool expectsContinue() const;

    /// The complete request in one plain form: with Content-Length, without Transfer-Encoding,
    /// Upgrade and Expect. Leaves the body empty.
    [[nodiscard]] std::string takeCanonicalBytes();
    /// Starts over with the next request.
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
    std::size_t m_remaining = 0;  ///< Bytes of the plain body or of the current chunk to come.
    std::string m_line;           ///< Unfinished chunk-size or trailer line.
    std::size_t m_trailerBytes = 0;
};

}  // namespace fernlift::http
