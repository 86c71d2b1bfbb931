#pragma once

/**
 * Identity of the work of a request: the same for every repetition of the request by its caller, at
 * any router.
 */

#include <boost/serialization/string.hpp>
#include <cstdint>
#include <string>

namespace fernlift::cell
{

struct RequestIdentity
{
    /** Fingerprint that is cheap to compute and equal for equal requests. The digest is computed
        only if the fingerprint matches.
    */
    std::uint64_t fingerprint = 0;
    /** 32 hexadecimal digits of a SHA-256 over the caller, the method, the host, the target and the
        body. Being cryptographic, it cannot be forged to match the request of another caller.
    */
    std::string digest;

    // clang-tidy 14 mistakes the zero of a defaulted comparison for a null pointer.
    auto operator<=> (const RequestIdentity&) const = default;  // NOLINT(modernize-use-nullptr)
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& fingerprint& digest;
    }
};

}  // namespace fernlift::cell
