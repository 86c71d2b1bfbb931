#pragma once

/**
 * Computes whether two requests, or parts of their prompts, are the same work of the same caller.
 *
 * The caller is the tenant that holds the key. Without tenants all callers count as one: an address
 * does not identify a caller, because many callers may share one and one caller may have many, and
 * requests of the same bytes are the same work. Header fields do not count, since ids, deadlines
 * and the last event of a resumed stream change with each attempt.
 */

#include <cstdint>
#include <string_view>

#include "cell/RequestIdentity.h"
#include "proxy/RequestParser.h"

namespace fernlift::proxy
{

/** Fingerprint part of the identity. It takes well under a microsecond for any size of the body. */
[[nodiscard]] std::uint64_t fingerprintOf (const ParsedRequest& request, std::string_view caller);

/** Complete identity. `caller` is the name of a tenant, or empty. */
[[nodiscard]] cell::RequestIdentity identityOf (const ParsedRequest& request,
                                                std::string_view caller);

/** Fingerprint part of identityOfPart(), which takes well under a microsecond. */
[[nodiscard]] std::uint64_t fingerprintOfPart (std::string_view part, std::string_view service,
                                               std::string_view caller);

/** Identity of a part of a prompt. It is the same in all requests of the caller for the service,
    since the part may crash each runner of it. `caller` is the name of a tenant, or empty.
*/
[[nodiscard]] cell::RequestIdentity identityOfPart (std::string_view part, std::string_view service,
                                                    std::string_view caller);

}  // namespace fernlift::proxy
