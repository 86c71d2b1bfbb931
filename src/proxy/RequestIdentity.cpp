#include "proxy/RequestIdentity.h"

#include <string>

#include "base/Digest.h"

namespace fernlift::proxy
{
namespace
{

constexpr std::size_t kDigestDigits = 32;

/// Appends a field with its length in front, which makes the concatenation unambiguous.
void addField (std::string& text, std::string_view field)
{
    text.append (std::to_string (field.size())).append (":").append (field);
}

/// Text of all fields except the body.
std::string headOf (const ParsedRequest& request, std::string_view caller)
{
    std::string text;
    addField (text, caller);
    addField (text, request.method);
    addField (text, request.headers.value ("Host"));
    addField (text, request.target);
    text.append (std::to_string (request.body.size())).append (":");
    return text;
}

std::string textOfPart (std::string_view part, std::string_view service, std::string_view caller)
{
    std::string text;
    addField (text, caller);
    addField (text, service);
    addField (text, part);
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

std::uint64_t fingerprintOfPart (std::string_view part, std::string_view service,
                                 std::string_view caller)
{
    return base::stableHash (textOfPart (part, service, caller));
}

cell::RequestIdentity identityOfPart (std::string_view part, std::string_view service,
                                      std::string_view caller)
{
    const std::string text = textOfPart (part, service, caller);
    cell::RequestIdentity identity;
    identity.fingerprint = base::stableHash (text);
    identity.digest.append (cell::kPromptPartPrefix)
        .append (base::sha256Hex (text).substr (0, kDigestDigits));
    return identity;
}

}  // namespace fernlift::proxy
