#include "proxy/RequestIdentity.h"

#include <string>

#include "base/Digest.h"

namespace fernlift::proxy
{
namespace
{

constexpr std::size_t kDigestDigits = 32;

/// Text of all parts except the body. The length before each part makes the concatenation
/// unambiguous.
std::string headOf (const ParsedRequest& request, std::string_view caller)
{
    std::string text;
    const auto add = [&text] (std::string_view part)
    { text.append (std::to_string (part.size())).append (":").append (part); };
    add (caller);
    add (request.method);
    add (request.headers.value ("Host"));
    add (request.target);
    text.append (std::to_string (request.body.size())).append (":");
    return text;
}

}  // namespace

std::uint64_t fingerprintOf (const ParsedRequest& request, std::string_view caller)
{
    return base::stableHash (headOf (request, caller));
}

cell::RequestIdentity identityOf (const ParsedRequest& request, std::string_view caller)
{
    std::string text = headOf (request, caller);
    cell::RequestIdentity identity;
    identity.fingerprint = base::stableHash (text);
    text.append (request.body);
    identity.digest = base::sha256Hex (text).substr (0, kDigestDigits);
    return identity;
}

}  // namespace fernlift::proxy
