#include "proxy/RequestParser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace fernlift::proxy
{

namespace beast = boost::beast;

/// Callbacks of Beast's parser that assemble the request.
class RequestParser::Implementation final : public beast::http::basic_parser<true>
{
public:
    explicit Implementation (const RequestLimits& limits)
    {
        header_limit (static_cast<std::uint32_t> (limits.headerBytes));
        body_limit (limits.bodyBytes);
        eager (true);
    }

    [[nodiscard]] ParsedRequest& request() { return m_request; }
    [[nodiscard]] std::size_t keptBytes() const
    {
        // Of a body with a stated length, only what was received takes memory.
        const std::size_t body = chunked() ? m_request.body.capacity() : m_request.body.size();
        return m_headerBytes + body;
    }
    [[nodiscard]] bool takeExpectsContinue() { return std::exchange (m_expectsContinue, false); }

private:
    using ErrorCode = beast::error_code;

    void on_request_impl (beast::http::verb /*verb*/, beast::string_view method,
                          beast::string_view target, int version, ErrorCode& error) override
    {
        constexpr int kVersion10 = 10;
        m_request.method.assign (method.data(), method.size());
        m_request.target.assign (target.data(), target.size());
        m_request.isHttp10 = version == kVersion10;
        error = {};
    }
    void on_response_impl (int /*status*/, beast::string_view /*reason*/, int /*version*/,
                           ErrorCode& error) override
    {
        error = {};
    }
    void on_field_impl (beast::http::field field, beast::string_view name, beast::string_view value,
                        ErrorCode& error) override
    {
        if (field == beast::http::field::expect && beast::iequals (value, "100-continue"))
        {
            m_expectsContinue = true;
        }
        // Trailers are discarded: forwarded as header fields they could replace fields that the
        // caller's header did not have.
        if (m_isHeaderRead)
        {
            error = {};
            return;
        }
        m_headerBytes += sizeof (http::Header) + name.size() + value.size();
        m_request.headers.add (std::string (name.data(), name.size()),
                               std::string (value.data(), value.size()));
        error = {};
    }
    void on_header_impl (ErrorCode& error) override
    {
        m_isHeaderRead = true;
        error = {};
    }
    void on_body_init_impl (boost::optional<std::uint64_t> const& length, ErrorCode& error) override
    {
        if (length)
            m_request.body.reserve (static_cast<std::size_t> (*length));
        error = {};
    }
    std::size_t on_body_impl (beast::string_view body, ErrorCode& error) override
    {
        m_request.body.append (body.data(), body.size());
        error = {};
        return body.size();
    }
    void on_chunk_header_impl (std::uint64_t /*size*/, beast::string_view /*extensions*/,
                               ErrorCode& error) override
    {
        error = {};
    }
    std::size_t on_chunk_body_impl (std::uint64_t /*remain*/, beast::string_view body,
                                    ErrorCode& error) override
    {
        m_request.body.append (body.data(), body.size());
        error = {};
        return body.size();
    }
    void on_finish_impl (ErrorCode& error) override
    {
        // A body of chunks has grown beyond its size.
        m_request.body.shrink_to_fit();
        error = {};
    }

    ParsedRequest m_request;
    std::size_t m_headerBytes = 0;  ///< Bytes of the fields in memory.
    bool m_expectsContinue = false;
    bool m_isHeaderRead = false;  ///< Fields after the header are trailers.
};

namespace
{

boost::leaf::error_id failOf (const beast::error_code& error)
{
    using base::ErrorKind;
    if (error == beast::http::error::header_limit)
    {
        return base::fail (ErrorKind::kHeaderTooLarge, "request header exceeds the size limit");
    }
    if (error == beast::http::error::body_limit)
    {
        return base::fail (ErrorKind::kBodyTooLarge, "request body exceeds the size limit");
    }
    const bool isFraming = error == beast::http::error::bad_content_length
                           || error == beast::http::error::bad_transfer_encoding
                           || error == beast::http::error::multiple_content_length;
    return base::fail (isFraming ? ErrorKind::kUnsupportedFraming : ErrorKind::kInvalidRequest,
                       error.message());
}

}  // namespace

RequestParser::RequestParser (RequestLimits limits) : m_limits (limits) {}
RequestParser::~RequestParser() = default;

base::Result<void> RequestParser::parse (std::string& buffer)
{
    if (buffer.empty() || state() == State::kDone)
        return {};
    if (! m_implementation)
        m_implementation = std::make_unique<Implementation> (m_limits);
    BOOST_LEAF_CHECK (parseAvailable (buffer));
    // The parser leaves the line of a chunk and the trailers unread until they are complete.
    const bool isFraming = m_implementation->is_header_done() && ! m_implementation->is_done();
    if (isFraming && buffer.size() > m_limits.headerBytes)
        return base::fail (base::ErrorKind::kHeaderTooLarge,
                           "the framing of a chunk or the trailers exceed the size limit");
    return {};
}

base::Result<void> RequestParser::parseAvailable (std::string& buffer)
{
    std::size_t used = 0;
    while (used < buffer.size() && ! m_implementation->is_done())
    {
        beast::error_code error;
        const std::size_t count = m_implementation->put (
            boost::asio::const_buffer (buffer.data() + used, buffer.size() - used), error);
        used += count;
        if (error == beast::http::error::need_more)
            break;
        if (error)
        {
            buffer.erase (0, used);
            return failOf (error);
        }
        if (count == 0)
            break;
    }
    buffer.erase (0, used);
    return {};
}

RequestParser::State RequestParser::state() const
{
    if (! m_implementation)
        return State::kIdle;
    return m_implementation->is_done() ? State::kDone : State::kReading;
}

bool RequestParser::takeExpectsContinue()
{
    const bool isHeaderRead = m_implementation && m_implementation->is_header_done();
    return isHeaderRead && ! m_implementation->is_done() && m_implementation->takeExpectsContinue();
}

std::size_t RequestParser::keptBytes() const
{
    return m_implementation ? m_implementation->keptBytes() : 0;
}

void RequestParser::discard() { m_implementation.reset(); }

ParsedRequest RequestParser::take()
{
    ParsedRequest request = std::move (m_implementation->request());
    request.wantsClose = ! m_implementation->keep_alive();
    request.hasBodyFraming =
        m_implementation->chunked() || m_implementation->content_length().has_value();
    m_implementation.reset();
    return request;
}

}  // namespace fernlift::proxy
