#pragma once

/**
 * Tells which requests are the same work of the same caller.
 *
 * The caller is the tenant that holds the key. Without tenants all callers count as one: an address
 * tells no caller, as many share one and one has many, and a request of the same bytes is the same
 * work. Header fields don't count: ids, deadlines and the last event of a resumed stream change
 * with each try.
 */

#include <cstdint>
#include <string_view>

#include "cell/RequestIdentity.h"
#include "proxy/RequestParser.h"

namespace fernlift::proxy
{

/** Part of the identity that costs well under a microsecond, whatever the size of the body. */
[[nodiscard]] std::uint64_t outlineOf (const ParsedRequest& request, std::string_view caller);

/** The whole identity. `caller` is a tenant's name, or empty. */
[[nodiscard]] cell::RequestIdentity identityOf (const ParsedRequest& request,
                                                std::string_view caller);

}  // namespace fernlift::proxy
