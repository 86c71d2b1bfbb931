#include "proxy/KeyTable.h"

#include <QCryptographicHash>
#include <algorithm>
#include <cstring>

namespace fernlift::proxy
{
namespace
{

constexpr std::string_view kScheme = "Bearer";

std::string_view trimmed (std::string_view text)
{
    const std::size_t begin = text.find_first_not_of (' ');
    if (begin == std::string_view::npos)
        return {};
    return text.substr (begin, text.find_last_not_of (' ') - begin + 1);
}

}  // namespace

std::string_view bearerToken (std::string_view credentials)
{
    credentials = trimmed (credentials);
    if (credentials.size() <= kScheme.size() || credentials[kScheme.size()] != ' ')
        return {};
    if (! http::equalsIgnoringCase (credentials.substr (0, kScheme.size()), kScheme))
        return {};
    return trimmed (credentials.substr (kScheme.size()));
}

std::size_t KeyTable::DigestHash::operator() (const Digest& digest) const
{
    // The bytes of a digest are uniformly distributed already.
    std::size_t hash = 0;
    std::memcpy (&hash, digest.data(), sizeof hash);
    return hash;
}

KeyTable::Digest KeyTable::digestOf (std::string_view key)
{
    const QByteArray bytes =
        QCryptographicHash::hash (http::byteView (key), QCryptographicHash::Sha256);
    Digest digest{};
    std::copy_n (bytes.constData(), kDigestBytes, digest.begin());
    return digest;
}

KeyTable::KeyTable (const std::vector<config::Tenant>& tenants)
{
    for (const config::Tenant& tenant : tenants)
    {
        for (const std::string& key : tenant.keys)
            m_tenantsByDigest.emplace (digestOf (key), &tenant);
    }
}

const config::Tenant* KeyTable::tenantOf (const http::Headers& headers) const
{
    if (headers.count (kCredentialsField) != 1)
        return nullptr;
    const std::string credentials = headers.value (kCredentialsField);
    const std::string_view key = bearerToken (credentials);
    if (key.empty())
        return nullptr;
    const auto found = m_tenantsByDigest.find (digestOf (key));
    return found == m_tenantsByDigest.end() ? nullptr : found->second;
}

}  // namespace fernlift::proxy
