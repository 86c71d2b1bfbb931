#include "config/Tenants.h"

#include <map>
#include <set>

namespace fernlift::config
{
namespace
{

class TenantProblemFinder
{
public:
    void check (const Tenant& tenant)
    {
        if (tenant.name.empty())
            m_problems.emplace_back ("a tenant has no name");
        if (! m_names.insert (tenant.name).second)
            m_problems.push_back ("tenant '" + tenant.name + "' is defined twice");
        if (tenant.quota.ratePerSecond < 0 || tenant.quota.burst < 0)
            m_problems.push_back ("tenant '" + tenant.name + "' has a limit below 0");
        for (const std::string& key : tenant.keys)
            checkKey (tenant, key);
    }

    std::vector<std::string> take() { return std::move (m_problems); }

private:
    void checkKey (const Tenant& tenant, std::string_view key)
    {
        if (key.empty())
            m_problems.push_back ("tenant '" + tenant.name + "' has an empty key");
        const auto [holder, isNew] = m_holders.emplace (key, tenant.name);
        if (! isNew && holder->second != tenant.name)
        {
            m_problems.push_back ("tenants '" + std::string (holder->second) + "' and '"
                                  + tenant.name + "' share a key");
        }
    }

    std::set<std::string_view> m_names;
    std::map<std::string_view, std::string_view> m_holders;  ///< Name of the tenant by key.
    std::vector<std::string> m_problems;
};

}  // namespace

std::vector<std::string> findTenantProblems (const std::vector<Tenant>& tenants)
{
    TenantProblemFinder finder;
    for (const Tenant& tenant : tenants)
        finder.check (tenant);
    return finder.take();
}

}  // namespace fernlift::config
