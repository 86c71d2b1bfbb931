#pragma once

/**
 * Identity of work that may crash runners: a whole request, the same for every repetition by its
 * caller at any router, or one part of a prompt that different requests share.
 */

#include <boost/serialization/string.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace fernlift::cell
{

/** Begin of the digest of a part of a prompt. The digest of a whole request has only digits. */
constexpr std::string_view kPromptPartPrefix = "part-";

struct RequestIdentity
{
    /** Fingerprint that is cheap to compute and equal for equal requests. The digest is computed
        only if the fingerprint matches.
    */
    std::uint64_t fingerprint = 0;
    /** 32 hexadecimal digits of a SHA-256 over the caller, the method, the host, the target and the
        body; for a part of a prompt kPromptPartPrefix and 32 digits over the caller, the service
       and the part. Being cryptographic, it cannot be forged to match the request of another
       caller.
    */
    std::string digest;

    [[nodiscard]] bool isPromptPart() const { return digest.starts_with (kPromptPartPrefix); }

    // clang-tidy 14 mistakes the zero of a defaulted comparison for a null pointer.
    auto operator<=> (const RequestIdentity&) const = default;  // NOLINT(modernize-use-nullptr)
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& fingerprint& digest;
    }
};

}  // namespace fernlift::cell
