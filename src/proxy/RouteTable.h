#pragma once

/// Finds the route of a request: the one with the longest matching path prefix among the routes of
/// its host.

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "config/ServiceCatalogue.h"
#include "proxy/KeyTable.h"

namespace fernlift::proxy
{

/// Configuration of the services, indexed for look-ups. Immutable.
class RouteTable
{
public:
    RouteTable (std::uint64_t version, config::ServiceCatalogue catalogue);
    RouteTable (const RouteTable&) = delete;
    RouteTable& operator= (const RouteTable&) = delete;

    /// Route of a request to `host` (case-insensitive, without the port) and `path`; null if there
    /// is none.
    [[nodiscard]] const config::Route* find (std::string_view host, std::string_view path) const;
    /// Service of a backend of the route, chosen by weight with `draw` from [0, 1).
    [[nodiscard]] static const std::string& chooseService (const config::Route& route, double draw);

    /// Tenant whose key the request carries; null if there is none.
    [[nodiscard]] const config::Tenant* tenantOf (const http::Headers& headers) const
    {
        return m_keys.tenantOf (headers);
    }

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const config::ServiceCatalogue& catalogue() const { return m_catalogue; }

private:
    using RoutesByPrefix = std::map<std::string, const config::Route*, std::less<>>;

    std::uint64_t m_version;
    config::ServiceCatalogue m_catalogue;
    KeyTable m_keys;  ///< Keys of the tenants of the catalogue.
    std::map<std::string, RoutesByPrefix, std::less<>> m_hosts;
};

}  // namespace fernlift::proxy
