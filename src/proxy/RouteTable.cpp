#include "proxy/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace fernlift::proxy
{
namespace
{

std::string normalisedHost (std::string_view host)
{
    std::string name (host.substr (0, host.rfind (':')));
    std::ranges::transform (name, name.begin(),
                            [] (unsigned char character)
                            { return static_cast<char> (std::tolower (character)); });
    return name;
}

}  // namespace

RouteTable::RouteTable (std::uint64_t version, config::ServiceCatalogue catalogue)
    : m_version (version), m_catalogue (std::move (catalogue)), m_keys (m_catalogue.tenants)
{
    for (const config::Route& route : m_catalogue.routes)
    {
        m_hosts[normalisedHost (route.host)].emplace (route.pathPrefix, &route);
    }
}

const config::Route* RouteTable::find (std::string_view host, std::string_view path) const
{
    const auto routes = m_hosts.find (normalisedHost (host));
    if (routes == m_hosts.end())
        return nullptr;
    // Prefixes end with a slash, so only the parts of the path up to a slash can match.
    for (std::size_t end = path.rfind ('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind ('/', end - 1))
    {
        const auto route = routes->second.find (path.substr (0, end + 1));
        if (route != routes->second.end())
            return route->second;
    }
    return nullptr;
}

const std::string& RouteTable::chooseService (const config::Route& route, double draw)
{
    std::uint64_t total = 0;
    for (const config::RouteBackend& backend : route.backends)
        total += backend.weight;
    double left = draw * static_cast<double> (total);
    for (const config::RouteBackend& backend : route.backends)
    {
        if (left < backend.weight)
            return backend.service;
        left -= backend.weight;
    }
    return route.backends.back().service;
}

}  // namespace fernlift::proxy
