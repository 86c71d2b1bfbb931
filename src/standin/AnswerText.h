#pragma once

/// Text that stand-in engines generate. It depends only on model and prompt, so that the receiver
/// can check that an answer is complete and belongs to its request.

#include <cstdint>
#include <string>
#include <string_view>

namespace fernlift::standin
{

/// Generator of the tokens of one answer.
class AnswerText
{
public:
    /// `model` is the model or adapter named in the request.
    AnswerText (std::string_view model, std::string_view prompt);

    /// Returns the text of the token at `offset`; the first token has offset 0.
    [[nodiscard]] std::string token (std::uint64_t offset) const;
    /// Returns the text of `count` tokens from `offset` on.
    [[nodiscard]] std::string tokens (std::uint64_t offset, std::uint64_t count) const;

private:
    std::uint64_t m_seed;
};

/// Returns the complete answer to a request for `maxTokens` tokens.
[[nodiscard]] std::string expectedAnswer (std::string_view model, std::string_view prompt,
                                          std::uint64_t maxTokens);

}  // namespace fernlift::standin
