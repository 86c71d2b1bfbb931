#pragma once

/// The text that stand-in engines generate: a function of model and prompt alone, so that whoever
/// receives an answer can tell whether it is whole and its own.

#include <cstdint>
#include <string>
#include <string_view>

namespace fernlift::standin
{

/// Generator of the tokens of one answer.
class AnswerText
{
public:
    /// `model` is the model or adapter that the caller named.
    AnswerText (std::string_view model, std::string_view prompt);

    /// Text of the token at `offset`, 0 for the first.
    [[nodiscard]] std::string token (std::uint64_t offset) const;
    /// Text of `count` tokens from `offset` on.
    [[nodiscard]] std::string tokens (std::uint64_t offset, std::uint64_t count) const;

private:
    std::uint64_t m_seed;
};

/// The whole answer to a request for `maxTokens` tokens.
[[nodiscard]] std::string expectedAnswer (std::string_view model, std::string_view prompt,
                                          std::uint64_t maxTokens);

}  // namespace fernlift::standin
