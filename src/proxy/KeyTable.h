#pragma once

/**
 * Finds the tenant that holds the key of a request.
 *
 * Only digests of keys are kept, so that neither the time of a look-up nor an image of the memory
 * of this table tells a key.
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

/** Field in which a request carries its key. */
constexpr std::string_view kCredentialsField = "Authorization";

/** Immutable. Threading: none needed. */
class KeyTable
{
public:
    /** The tenants must outlive the table. */
    explicit KeyTable (const std::vector<config::Tenant>& tenants);

    /** The tenant whose key the request carries as bearer token. Null when it carries none, more
        than one, or one that no tenant holds.
    */
    [[nodiscard]] const config::Tenant* tenantOf (const http::Headers& headers) const;

private:
    static constexpr std::size_t kDigestBytes = 32;  ///< SHA-256.
    using Digest = std::array<char, kDigestBytes>;
    struct DigestHash
    {
        [[nodiscard]] std::size_t operator() (const Digest& digest) const;
    };

    [[nodiscard]] static Digest digestOf (std::string_view key);

    std::unordered_map<Digest, const config::Tenant*, DigestHash> m_holders;
};

/** The key of a field `Authorization` of the scheme "Bearer", whose name may be in any case; empty
    when the field is not of that form.
*/
[[nodiscard]] std::string_view bearerToken (std::string_view credentials);

}  // namespace fernlift::proxy
