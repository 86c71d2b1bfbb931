#pragma once

/**
 * Tells which requests are the same work of the same caller.
 *
 * The caller is the tenant that holds the key, or the address where no tenant is known. Other
 * header fields don't count: ids, deadlines and the last event of a resumed stream change with each
 * try.
 */

#include <cstdint>
#include <string_view>

#include "cell/RequestIdentity.h"
#include "proxy/RequestParser.h"

namespace fernlift::proxy
{

/** Part of the identity that costs well under a microsecond, whatever the size of the body. */
[[nodiscard]] std::uint64_t outlineOf (const ParsedRequest& request, std::string_view caller);

/** The whole identity. `caller` is a tenant's name or the address of the caller without its port.
 */
[[nodiscard]] cell::RequestIdentity identityOf (const ParsedRequest& request,
                                                std::string_view caller);

}  // namespace fernlift::proxy
