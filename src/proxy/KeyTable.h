#pragma once

/**
 * Finds the tenant that holds the key of a request.
 *
 * Only digests of keys are stored, so that neither the duration of a look-up nor a memory dump
 * reveals a key.
 */

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/Tenants.h"
#include "http/Message.h"

namespace fernlift::proxy
{

/** Header field that carries the key of a request. */
constexpr std::string_view kCredentialsField = "Authorization";

/** Immutable, so access needs no synchronisation. */
class KeyTable
{
public:
    /** The tenants must outlive the table. */
    explicit KeyTable (const std::vector<config::Tenant>& tenants);

    /** The tenant whose key the request carries as bearer token. Null without a key, with more than
        one, or with a key that no tenant holds.
    */
    [[nodiscard]] const config::Tenant* tenantOf (const http::Headers& headers) const;

private:
    static constexpr std::size_t kDigestBytes = 32;  ///< Size of a SHA-256 digest.
    using Digest = std::array<char, kDigestBytes>;
    struct DigestHash
    {
        [[nodiscard]] std::size_t operator() (const Digest& digest) const;
    };

    [[nodiscard]] static Digest digestOf (std::string_view key);

    std::unordered_map<Digest, const config::Tenant*, DigestHash> m_tenantsByDigest;
};

/** Key in an `Authorization` field of the scheme "Bearer" (case-insensitive); empty when the field
    has another form.
*/
[[nodiscard]] std::string_view bearerToken (std::string_view credentials);

}  // namespace fernlift::proxy
