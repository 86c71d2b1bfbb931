#pragma once

/**
 * Identity of a request as far as its work goes: the same for every repeat of it by its caller, at
 * whatever router.
 */

#include <boost/serialization/string.hpp>
#include <cstdint>
#include <string>

namespace fernlift::cell
{

struct RequestIdentity
{
    /** Cheap to compute, and the same for equal requests: tells whether the digest is worth
        computing.
    */
    std::uint64_t outline = 0;
    /** 32 hexadecimal digits of a SHA-256 over the caller, the method, the host, the target and the
        body: nobody can make a request that is taken for another caller's.
    */
    std::string digest;

    // clang-tidy 14 takes the zero of a defaulted comparison for a pointer.
    auto operator<=> (const RequestIdentity&) const = default;  // NOLINT(modernize-use-nullptr)
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& outline& digest;
    }
};

}  // namespace fernlift::cell
