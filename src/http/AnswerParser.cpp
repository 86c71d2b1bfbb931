#include "http/AnswerParser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace fernlift::http
{

namespace beast = boost::beast;

namespace
{

constexpr std::uint32_t kHeaderLimit = 64UL * 1024;
constexpr int kMinStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kMaxStatus = 599;

/// Whether a final or interim answer may have this status. No request asks for another protocol.
bool isValidStatus (int status)
{
    return status >= kMinStatus && status <= kMaxStatus && status != kSwitchingProtocols;
}

}  // namespace

class AnswerParser::Implementation final : public beast::http::basic_parser<false>
{
public:
    Implementation (bool hasBody, Handlers handlers) : m_handlers (std::move (handlers))
    {
        header_limit (kHeaderLimit);
        body_limit (boost::none);
        eager (true);
        skip (! hasBody);
    }
    /// Delivers the bytes of chunks that were parsed since the last call.
    void deliverChunks()
    {
        if (! m_chunks.empty())
            m_handlers.onBody (std::exchange (m_chunks, {}));
    }

private:
    using ErrorCode = beast::error_code;

    void on_request_impl (beast::http::verb /*verb*/, beast::string_view /*method*/,
                          beast::string_view /*target*/, int /*version*/, ErrorCode& error) override
    {
        error = {};
    }
    void on_response_impl (int status, beast::string_view /*reason*/, int /*version*/,
                           ErrorCode& error) override
    {
        m_head.status = status;
        error = isValidStatus (status) ? ErrorCode() : beast::http::error::bad_status;
    }
    void on_field_impl (beast::http::field /*field*/, beast::string_view name,
                        beast::string_view value, ErrorCode& error) override
    {
        m_head.headers.add (std::string (name.data(), name.size()),
                            std::string (value.data(), value.size()));
        error = {};
    }
    void on_header_impl (ErrorCode& error) override
    {
        m_head.hasLength = content_length().has_value();
        if (m_head.hasLength)
            m_head.length = *content_length();
        m_head.endsByClose = need_eof();
        m_head.isPersistent = keep_alive() && ! need_eof();
        m_handlers.onHead (std::move (m_head));
        error = {};
    }
    void on_body_init_impl (boost::optional<std::uint64_t> const& /*length*/,
                            ErrorCode& error) override
    {
        error = {};
    }
    std::size_t on_body_impl (beast::string_view body, ErrorCode& error) override
    {
        m_handlers.onBody ({ body.data(), body.size() });
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
        m_chunks.append (body.data(), body.size());
        error = {};
        return body.size();
    }
    void on_finish_impl (ErrorCode& error) override { error = {}; }

    Handlers m_handlers;
    AnswerHead m_head;
    std::string m_chunks;  ///< Bytes of chunks that are not delivered yet.
};

AnswerParser::AnswerParser (bool hasBody, Handlers handlers)
    : m_implementation (std::make_unique<Implementation> (hasBody, std::move (handlers)))
{
}
AnswerParser::~AnswerParser() = default;

base::Result<void> AnswerParser::parse (std::string& buffer)
{
    BOOST_LEAF_CHECK (parseAvailable (buffer));
    m_implementation->deliverChunks();
    const bool isFraming = m_implementation->is_header_done() && ! m_implementation->is_done();
    if (isFraming && buffer.size() > kMaxFramingBytes)
        return base::fail (base::ErrorKind::kMessageInvalid,
                           "the framing of a chunk or the trailers are too long");
    return {};
}

base::Result<void> AnswerParser::parseAvailable (std::string& buffer)
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
            return base::fail (base::ErrorKind::kMessageInvalid, error.message());
        if (count == 0)
            break;
    }
    buffer.erase (0, used);
    return {};
}

bool AnswerParser::finishByClose()
{
    if (m_implementation->is_done())
        return true;
    if (! m_implementation->is_header_done() || ! m_implementation->need_eof())
        return false;
    beast::error_code error;
    m_implementation->put_eof (error);
    return ! error && m_implementation->is_done();
}

bool AnswerParser::isDone() const { return m_implementation->is_done(); }

}  // namespace fernlift::http
