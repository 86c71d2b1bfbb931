#include "config/Settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace fernlift::config
{
namespace
{

using Assignment = std::function<std::optional<std::string> (const std::string&)>;

constexpr const char* kAddressType = "numeric IPv4 address with a port, IP:PORT";

std::string foundAndAllowed (const std::string& found, const std::string& allowed)
{
    return "found '" + found + "', allowed: " + allowed;
}

/// Parses all of `text` as a number; nothing if any character is left over.
template <class Number>
std::optional<Number> parseNumber (const std::string& text)
{
    Number number{};
    const char* const end = text.data() + text.size();
    const auto [stop, status] = std::from_chars (text.data(), end, number);
    if (status != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

std::string formatReal (double number)
{
    char buffer[32];
    const auto result = std::to_chars (std::begin (buffer), std::end (buffer), number);
    return std::string (std::begin (buffer), result.ptr);
}

std::string join (const std::vector<std::string>& parts)
{
    std::string text;
    for (const std::string& part : parts)
    {
        if (! text.empty())
            text += ", ";
        text += part;
    }
    return text;
}

std::string formatAddress (const base::SocketAddress& address)
{
    return address == base::SocketAddress{} ? std::string() : address.toString();
}

std::optional<base::SocketAddress> parseAddress (const std::string& text)
{
    return base::handleErrors (
        [&]() -> base::Result<std::optional<base::SocketAddress>>
        {
            BOOST_LEAF_AUTO (address, base::SocketAddress::parse (text));
            return std::optional (address);
        },
        [] (const base::Error&) { return std::optional<base::SocketAddress>(); });
}

std::string rangeType (const std::string& noun, const std::string& minimum,
                       const std::string& maximum)
{
    return noun + " from " + minimum + " to " + maximum;
}

Assignment assignInteger (std::int64_t minimum, std::int64_t maximum, const std::string& allowed,
                          const std::function<void (std::int64_t)>& store)
{
    return [=] (const std::string& text) -> std::optional<std::string>
    {
        const auto number = parseNumber<std::int64_t> (text);
        if (! number || *number < minimum || *number > maximum)
            return foundAndAllowed (text, allowed);
        store (*number);
        return std::nullopt;
    };
}

bool clash (const base::SocketAddress& left, const base::SocketAddress& right)
{
    constexpr const char* kAnyHost = "0.0.0.0";
    if (left.port == 0 || left.port != right.port)
        return false;
    return left.host == right.host || left.host == kAnyHost || right.host == kAnyHost;
}

}  // namespace

SettingsSchema::SettingsSchema (std::string program, std::string summary)
    : m_program (std::move (program)), m_summary (std::move (summary))
{
}

SettingsSchema& SettingsSchema::add (Setting setting)
{
    m_settings.push_back (std::move (setting));
    return *this;
}

SettingsSchema& SettingsSchema::addString (std::string key, std::string* target, std::string help)
{
    Setting setting;
    setting.key = std::move (key);
    setting.typeName = "text";
    setting.help = std::move (help);
    setting.defaultText = *target;
    setting.assign = [target] (const std::string& text)
    {
        *target = text;
        return std::optional<std::string>();
    };
    return add (std::move (setting));
}

SettingsSchema& SettingsSchema::addStringList (std::string key, std::vector<std::string>* target,
                                               std::string help)
{
    Setting setting;
    setting.key = std::move (key);
    setting.typeName = "list of texts";
    setting.help = std::move (help);
    setting.isList = true;
    setting.defaultText = join (*target);
    setting.assign = [target] (const std::string& text)
    {
        target->push_back (text);
        return std::optional<std::string>();
    };
    setting.clear = [target] { target->clear(); };
    return add (std::move (setting));
}

SettingsSchema& SettingsSchema::addInteger (std::string key, std::int64_t* target,
                                            std::int64_t minimum, std::int64_t maximum,
                                            std::string help)
{
    Setting setting;
    setting.key = std::move (key);
    setting.typeName = rangeType ("integer", std::to_string (minimum), std::to_string (maximum));
    setting.help = std::move (help);
    setting.form = ValueForm::kInteger;
    setting.defaultText = std::to_string (*target);
    setting.assign = assignInteger (minimum, maximum, setting.typeName,
                                    [target] (std::int64_t number) { *target = number; });
    return add (std::move (setting));
}

SettingsSchema& SettingsSchema::addReal (std::string key, double* target, double minimum,
                                         double maximum, std::string help)
{
    Setting setting;
    setting.key = std::move (key);
    setting.typeName = rangeType ("number", formatReal (minimum), formatReal (maximum));
    setting.help = std::move (help);
    setting.form = ValueForm::kReal;
    setting.defaultText = formatReal (*target);
    const std::string allowed = setting.typeName;
    setting.assign = [=] (const std::string& text) -> std::optional<std::string>
    {
        const auto number = parseNumber<double> (text);
        const bool isValid = number && *number >= minimum && *number <= maximum;
        if (! isValid)
            return foundAndAllowed (text, allowed);
        *target = *number;
        return std::nullopt;
    };
    return add (std::move (setting));
}

SettingsSchema& SettingsSchema::addDuration (std::string key, base::Duration* target,
                                             base::Duration minimum, base::Duration maximum,
                                             std::string help)
{
    const std::int64_t least = base::toMilliseconds (minimum);
    const std::int64_t most = base::toMilliseconds (maximum);
    Setting setting;
    setting.key = std::move (key);
    setting.typeName =
        rangeType ("whole milliseconds", std::to_string (least), std::to_string (most));
    setting.help = std::move (help);
    setting.form = ValueForm::kInteger;
    setting.defaultText = std::to_string (base::toMilliseconds (*target));
    setting.assign =
        assignInteger (least, most, setting.typeName,
                       [target] (std::int64_t number) { *target = base::milliseconds (number); });
    return add (std::move (setting));
}

SettingsSchema& SettingsSchema::addBoolean (std::string key, bool* target, std::string help)
{
    Setting setting;
    setting.key = std::move (key);
    setting.typeName = "true or false";
    setting.help = std::move (help);
    setting.form = ValueForm::kBoolean;
    setting.defaultText = *target ? "true" : "false";
    setting.assign = [target] (const std::string& text) -> std::optional<std::string>
    {
        if (text != "true" && text != "false")
            return foundAndAllowed (text, "true or false");
        *target = text == "true";
        return std::nullopt;
    };
    return add (std::move (setting));
}

SettingsSchema& SettingsSchema::addAddress (std::string key, base::SocketAddress* target,
                                            std::string help)
{
    Setting setting;
    setting.key = std::move (key);
    setting.typeName = kAddressType;
    setting.help = std::move (help);
    setting.defaultText = formatAddress (*target);
    setting.assign = [target] (const std::string& text) -> std::optional<std::string>
    {
        const auto address = parseAddress (text);
        if (! address)
            return foundAndAllowed (text, kAddressType);
        *target = *address;
        return std::nullopt;
    };
    return add (std::move (setting));
}

SettingsSchema& SettingsSchema::addAddressList (std::string key,
                                                std::vector<base::SocketAddress>* target,
                                                std::string help)
{
    std::vector<std::string> defaults;
    for (const base::SocketAddress& address : *target)
        defaults.push_back (address.toString());
    Setting setting;
    setting.key = std::move (key);
    setting.typeName = std::string ("list, each a ") + kAddressType;
    setting.help = std::move (help);
    setting.isList = true;
    setting.defaultText = join (defaults);
    setting.assign = [target] (const std::string& text) -> std::optional<std::string>
    {
        const auto address = parseAddress (text);
        if (! address)
            return foundAndAllowed (text, kAddressType);
        target->push_back (*address);
        return std::nullopt;
    };
    setting.clear = [target] { target->clear(); };
    return add (std::move (setting));
}

SettingsSchema& SettingsSchema::addChoice (std::string key, std::string* target,
                                           std::vector<std::string> choices, std::string help)
{
    Setting setting;
    setting.key = std::move (key);
    setting.typeName = "one of " + join (choices);
    setting.help = std::move (help);
    setting.defaultText = *target;
    setting.assign = [target, choices = std::move (choices),
                      allowed = setting.typeName] (const std::string& text)
    {
        const bool isKnown = std::find (choices.begin(), choices.end(), text) != choices.end();
        if (! isKnown)
            return std::optional (foundAndAllowed (text, allowed));
        *target = text;
        return std::optional<std::string>();
    };
    return add (std::move (setting));
}

SettingsSchema& SettingsSchema::required()
{
    m_settings.back().isRequired = true;
    return *this;
}

SettingsSchema& SettingsSchema::addCheck (std::function<std::vector<std::string>()> check)
{
    m_checks.push_back (std::move (check));
    return *this;
}

SettingsSchema& SettingsSchema::setPositionals (std::string usage)
{
    m_positionalUsage = std::move (usage);
    return *this;
}

std::vector<std::string> findAddressClashes (const std::vector<NamedAddress>& addresses)
{
    std::vector<std::string> messages;
    for (std::size_t first = 0; first < addresses.size(); ++first)
    {
        for (std::size_t second = first + 1; second < addresses.size(); ++second)
        {
            const NamedAddress& left = addresses[first];
            const NamedAddress& right = addresses[second];
            if (! clash (left.address, right.address))
                continue;
            messages.push_back (right.key + ": found " + right.address.toString()
                                + ", which clashes with " + left.key + " ("
                                + left.address.toString() + "); allowed: an address of its own");
        }
    }
    return messages;
}

}  // namespace fernlift::config
