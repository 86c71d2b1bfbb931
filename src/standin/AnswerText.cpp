#include "standin/AnswerText.h"

#include "base/Digest.h"

namespace fernlift::standin
{
namespace
{

/// Mixes the bits of a counter with the finalizer of the SplitMix64 generator.
std::uint64_t mix (std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

constexpr std::string_view kLetters = "abcdefghijklmnop";
constexpr int kTokenLetters = 6;
constexpr unsigned kBitsPerLetter = 4;

}  // namespace

AnswerText::AnswerText (std::string_view model, std::string_view prompt)
{
    std::string input (model);
    input += '\0';
    input += prompt;
    m_seed = base::stableHash (input);
}

std::string AnswerText::token (std::uint64_t offset) const
{
    std::uint64_t bits = mix (m_seed ^ mix (offset));
    std::string text;
    for (int letter = 0; letter < kTokenLetters; ++letter)
    {
        text += kLetters[bits % kLetters.size()];
        bits >>= kBitsPerLetter;
    }
    return text + ' ';
}

std::string AnswerText::tokens (std::uint64_t offset, std::uint64_t count) const
{
    std::string text;
    for (std::uint64_t index = 0; index < count; ++index)
        text += token (offset + index);
    return text;
}

std::string expectedAnswer (std::string_view model, std::string_view prompt,
                            std::uint64_t maxTokens)
{
    return AnswerText (model, prompt).tokens (0, maxTokens);
}

}  // namespace fernlift::standin
