#include "config/ServiceCatalogue.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fernlift::config
{
namespace
{

// Callers abandon a stream after a gap of the longest of these.
constexpr base::Duration kMinPatience = base::seconds (2);
constexpr int kWaitLimitInTargets = 4;
constexpr int kWaitLimitInGaps = 8;

template <class Item>
const Item* findNamed (const std::vector<Item>& items, std::string_view name)
{
    const auto found = std::ranges::find (items, name, &Item::name);
    return found == items.end() ? nullptr : &*found;
}

class ProblemFinder
{
public:
    explicit ProblemFinder (const ServiceCatalogue& catalogue) : m_catalogue (catalogue)
    {
        for (const Service& service : catalogue.services)
        {
            if (service.name.empty())
                m_problems.emplace_back ("a service has no name");
            if (! m_serviceNames.insert (service.name).second)
            {
                m_problems.push_back ("service '" + service.name + "' is defined twice");
            }
        }
    }

    std::vector<std::string> find()
    {
        for (const Route& route : m_catalogue.routes)
            check (route);
        for (std::string& problem : findTenantProblems (m_catalogue.tenants))
            m_problems.push_back (std::move (problem));
        return std::move (m_problems);
    }

private:
    void check (const Route& route)
    {
        if (route.host.empty())
            report (route, "has no host");
        const std::string& prefix = route.pathPrefix;
        if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
        {
            report (route,
                    "has the path prefix '" + prefix + "'; it must begin and end with a slash");
        }
        if (! m_places.emplace (route.host, prefix).second)
        {
            report (route, "has the host and path prefix of another route");
        }
        if (route.timeout <= base::Duration::zero())
            report (route, "has no time limit");
        checkBackends (route);
    }

    void checkBackends (const Route& route)
    {
        std::uint64_t weights = 0;
        for (const RouteBackend& backend : route.backends)
        {
            weights += backend.weight;
            if (! m_serviceNames.contains (backend.service))
            {
                report (route, "names the unknown service '" + backend.service + "'");
            }
        }
        if (weights == 0)
            report (route, "has weights that sum to 0");
    }

    void report (const Route& route, const std::string& what)
    {
        m_problems.push_back ("route '" + route.name + "' " + what);
    }

    const ServiceCatalogue& m_catalogue;
    std::set<std::string_view> m_serviceNames;
    std::set<std::pair<std::string_view, std::string_view>> m_places;
    std::vector<std::string> m_problems;
};

}  // namespace

base::Duration Route::eventWaitLimit() const
{
    return std::max<base::Duration> (
        { kMinPatience, targetLatency * kWaitLimitInTargets, gapTarget * kWaitLimitInGaps });
}

const EngineModel* EngineSpec::findModel (std::string_view name) const
{
    return findNamed (models, name);
}

const Service* ServiceCatalogue::findService (std::string_view name) const
{
    return findNamed (services, name);
}

std::vector<std::string> findServiceProblems (const ServiceCatalogue& catalogue)
{
    return ProblemFinder (catalogue).find();
}

}  // namespace fernlift::config
