#include "base/SocketAddress.h"

#include <QHostAddress>
#include <QString>
#include <charconv>

namespace fernlift::base
{

std::string SocketAddress::toString() const { return host + ":" + std::to_string (port); }

Result<SocketAddress> SocketAddress::parse (std::string_view text)
{
    const std::size_t colon = text.rfind (':');
    if (colon == std::string_view::npos)
    {
        return fail (ErrorKind::kInvalidRequest,
                     "'" + std::string (text) + "' is not an address of the form IP:PORT");
    }
    SocketAddress address;
    address.host = std::string (text.substr (0, colon));
    const std::string_view portText = text.substr (colon + 1);
    const auto [end, status] =
        std::from_chars (portText.data(), portText.data() + portText.size(), address.port);
    const bool portIsValid = status == std::errc() && end == portText.data() + portText.size();
    const QHostAddress host (QString::fromStdString (address.host));
    if (! portIsValid || host.protocol() != QAbstractSocket::IPv4Protocol)
    {
        return fail (ErrorKind::kInvalidRequest,
                     "'" + std::string (text) + "' is not a numeric IPv4 address with a port");
    }
    return address;
}

std::optional<SocketAddress> SocketAddress::tryParse (std::string_view text)
{
    return handleErrors (
        [&]() -> Result<std::optional<SocketAddress>>
        {
            BOOST_LEAF_AUTO (address, parse (text));
            return std::optional (std::move (address));
        },
        [] (const Error&) { return std::optional<SocketAddress>(); });
}

}  // namespace fernlift::base
