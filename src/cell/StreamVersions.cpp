#include "cell/StreamVersions.h"

#include <algorithm>
#include <utility>

#include "base/Digest.h"

namespace fernlift::cell
{
namespace
{

constexpr std::size_t kKeyDigits = 32;

}  // namespace

std::string streamKeyOf (std::string_view tenant, std::string_view route, std::string_view request)
{
    std::string text = std::to_string (tenant.size()) + ' ' + std::to_string (route.size()) + ' ';
    text.append (tenant).append (route).append (request);
    return base::sha256Hex (text).substr (0, kKeyDigits);
}

void StreamVersions::record (const std::string& key, const std::string& version,
                             base::TimePoint expiresAt)
{
    const bool isInvalid = version.empty() || version.size() > kMaxVersionBytes;
    if (isInvalid || ! m_streams.try_emplace (key, Stream{ version, expiresAt }).second)
        return;
    m_order.push_back (key);
    if (m_order.size() <= kMaxStreams)
        return;
    m_streams.erase (m_order.front());
    m_order.pop_front();
}

void StreamVersions::record (const StreamNotice& notice, base::TimePoint now)
{
    const base::Duration lifetime = std::min<base::Duration> (notice.lifetime, kMaxLifetime);
    record (notice.key, notice.softwareVersion, now + lifetime);
}

std::optional<std::string> StreamVersions::find (const std::string& key, base::TimePoint now) const
{
    std::optional<StreamNotice> notice = findNotice (key, now);
    if (! notice)
        return std::nullopt;
    return std::move (notice->softwareVersion);
}

std::optional<StreamNotice> StreamVersions::findNotice (const std::string& key,
                                                        base::TimePoint now) const
{
    const auto found = m_streams.find (key);
    if (found == m_streams.end() || now >= found->second.expiresAt)
        return std::nullopt;
    return StreamNotice{ key, found->second.version, found->second.expiresAt - now };
}

std::vector<StreamNotice> StreamVersions::listAfter (const std::string& after, std::size_t count,
                                                     base::TimePoint now) const
{
    std::vector<StreamNotice> listed;
    for (auto item = m_streams.upper_bound (after); item != m_streams.end(); ++item)
    {
        if (listed.size() == count)
            break;
        const auto& [key, stream] = *item;
        if (now < stream.expiresAt)
            listed.push_back ({ key, stream.version, stream.expiresAt - now });
    }
    return listed;
}

void StreamVersions::expire (base::TimePoint now)
{
    // Streams of longer lifetimes keep later ones with shorter ones a little longer.
    while (! m_order.empty() && now >= m_streams.at (m_order.front()).expiresAt)
    {
        m_streams.erase (m_order.front());
        m_order.pop_front();
    }
}

}  // namespace fernlift::cell
