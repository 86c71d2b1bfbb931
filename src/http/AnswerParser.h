#pragma once

/// Incremental parser of one HTTP/1.1 answer, on Boost.Beast's parser. It hands on the body as it
/// comes and never takes an answer for whole that was cut.

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
    bool hasLength = false;     ///< The body's length is stated.
    std::uint64_t length = 0;   ///< When stated.
    bool endsByClose = false;   ///< Neither length nor chunks: the body ends with the connection.
    bool isPersistent = false;  ///< The connection may be used again.
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

    /// Takes bytes off the front of `buffer`; stops at the end of the answer. Fails with
    /// kMessageInvalid on bytes that are no answer.
    base::Result<void> parse (std::string& buffer);
    /// The connection was closed in good order. Returns whether the answer is whole by that.
    [[nodiscard]] bool finishByClose();
    [[nodiscard]] bool isDone() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}  // namespace fernlift::http
