#include "cell/ConfigurationDelta.h"

#include "base/Digest.h"

namespace fernlift::cell
{

std::optional<std::string> wholeText (const ConfigurationUpdate& update,
                                      const HeldConfiguration& held)
{
    if (update.baseVersion == 0)
        return update.text;
    const bool isBaseHeld = update.baseVersion == held.version && update.baseDigest == held.digest;
    const bool isWithin = update.keptPrefix <= held.text.size()
                          && update.keptSuffix <= held.text.size() - update.keptPrefix;
    if (! isBaseHeld || ! isWithin)
        return std::nullopt;
    std::string text = held.text.substr (0, update.keptPrefix);
    text += update.text;
    text.append (held.text, held.text.size() - update.keptSuffix);
    if (base::sha256Hex (text) != update.digest)
        return std::nullopt;
    return text;
}

}  // namespace fernlift::cell
