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

}  // namespace

class AnswerParser::Implementation final : public beast::http::basic_parser<false>
{
public:
    Implementation (bool hasBody, Handlers handlers) : handlers_ (std::move (handlers))
    {
        header_limit (kHeaderLimit);
        body_limit (boost::none);
        eager (true);
        skip (! hasBody);
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
        head_.status = status;
        error = {};
    }
    void on_field_impl (beast::http::field /*field*/, beast::string_view name,
                        beast::string_view value, ErrorCode& error) override
    {
        head_.headers.add (std::string (name.data(), name.size()),
                           std::string (value.data(), value.size()));
        error = {};
    }
    void on_header_impl (ErrorCode& error) override
    {
        head_.hasLength = content_length().has_value();
        if (head_.hasLength)
            head_.length = *content_length();
        head_.endsByClose = need_eof();
        head_.isPersistent = keep_alive() && ! need_eof();
        handlers_.onHead (std::move (head_));
        error = {};
    }
    void on_body_init_impl (boost::optional<std::uint64_t> const& /*length*/,
                            ErrorCode& error) override
    {
        error = {};
    }
    std::size_t on_body_impl (beast::string_view body, ErrorCode& error) override
    {
        handlers_.onBody ({ body.data(), body.size() });
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
        handlers_.onBody ({ body.data(), body.size() });
        error = {};
        return body.size();
    }
    void on_finish_impl (ErrorCode& error) override { error = {}; }

    Handlers handlers_;
    AnswerHead head_;
};

AnswerParser::AnswerParser (bool hasBody, Handlers handlers)
    : implementation_ (std::make_unique<Implementation> (hasBody, std::move (handlers)))
{
}
AnswerParser::~AnswerParser() = default;

base::Result<void> AnswerParser::parse (std::string& buffer)
{
    std::size_t used = 0;
    while (used < buffer.size() && ! implementation_->is_done())
    {
        beast::error_code error;
        const std::size_t count = implementation_->put (
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
    if (implementation_->is_done())
        return true;
    if (! implementation_->is_header_done() || ! implementation_->need_eof())
        return false;
    beast::error_code error;
    implementation_->put_eof (error);
    return ! error && implementation_->is_done();
}

bool AnswerParser::isDone() const { return implementation_->is_done(); }

}  // namespace fernlift::http
