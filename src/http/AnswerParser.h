#pragma once

/// Incremental parser of one HTTP/1.1 answer, based on Boost.Beast's parser. It delivers the body
/// as it arrives and never reports a truncated answer as complete.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/Error.h"
#include "http/Message.h"

namespace fernlift::http
{

/// Status line and header fields of an answer.
struct AnswerHead
{
    int status = 0;
    Headers headers;
    bool hasLength = false;     ///< Has a Content-Length.
    std::uint64_t length = 0;   ///< Value of Content-Length.
    bool endsByClose = false;   ///< Neither length nor chunks: the body ends at the close.
    bool isPersistent = false;  ///< The connection may be reused.
};

class AnswerParser
{
public:
    struct Handlers
    {
        std::function<void (AnswerHead head)> onHead;
        std::function<void (std::string_view data)> onBody;
    };

    /// `hasBody` is false for answers to HEAD.
    AnswerParser (bool hasBody, Handlers handlers);
    ~AnswerParser();
    AnswerParser (const AnswerParser&) = delete;
    AnswerParser& operator= (const AnswerParser&) = delete;

    /// Consumes bytes from the front of `buffer`; stops at the end of the answer. The chunks that
    /// are complete with it are delivered by one call. Fails with kMessageInvalid on bytes that are
    /// not an HTTP answer, as by a status outside of 100 to 599, and when the framing of a chunk or
    /// the trailers exceed kMaxFramingBytes.
    base::Result<void> parse (std::string& buffer);
    /// Handles an orderly close of the connection; returns whether the answer is complete with it.
    [[nodiscard]] bool finishByClose();
    [[nodiscard]] bool isDone() const;

    /// Most bytes of the size and extensions of one chunk, or of all trailers.
    static constexpr std::size_t kMaxFramingBytes = 16UL * 1024;

private:
    base::Result<void> parseAvailable (std::string& buffer);

    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::http
