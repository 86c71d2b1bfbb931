#include "proxy/StreamPin.h"

#include <utility>
#include <variant>

namespace fernlift::proxy
{

std::string_view toString (PinSource source)
{
    switch (source)
    {
        case PinSource::kNone:
            return "";
        case PinSource::kNotice:
            return "notice";
        case PinSource::kTable:
            break;
    }
    return "table";
}

std::optional<std::string> onlyVersionIn (const SoftwareVersionsInUse& versions)
{
    if (const auto* one = std::get_if<OneSoftwareVersion> (&versions))
        return one->version;
    if (std::holds_alternative<NoSoftwareVersion> (versions))
        return std::string();
    return std::nullopt;
}

std::optional<StreamPin> pinResumedStream (const std::optional<std::string>& stated,
                                           const SoftwareVersionsInUse& inUse)
{
    // The router that began the stream may have known a version that the table of this one doesn't
    // list yet.
    if (stated)
        return StreamPin{ PinSource::kNotice, *stated };
    std::optional<std::string> only = onlyVersionIn (inUse);
    if (! only)
        return std::nullopt;
    return StreamPin{ PinSource::kTable, std::move (*only) };
}

bool needsNotice (const SoftwareVersionsInUse& inUse)
{
    return ! onlyVersionIn (inUse).has_value();
}

}  // namespace fernlift::proxy
