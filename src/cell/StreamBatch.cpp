#include "cell/StreamBatch.h"

#include <algorithm>
#include <iterator>

namespace fernlift::cell
{

void StreamBatch::add (const StreamNotice& stream)
{
    m_pending.push_back (stream);
    if (m_pending.size() <= kMaxPending)
        return;
    m_pending.pop_front();
    ++m_dropped;
}

std::optional<StreamRecords> StreamBatch::take (base::TimePoint now)
{
    if (m_pending.empty() || now < m_nextAt)
        return std::nullopt;
    m_nextAt = now + kInterval;
    const std::size_t count = std::min (m_pending.size(), kMaxStreamsPerMessage);
    const auto end = m_pending.begin() + static_cast<std::ptrdiff_t> (count);
    StreamRecords records;
    records.streams.assign (std::make_move_iterator (m_pending.begin()),
                            std::make_move_iterator (end));
    m_pending.erase (m_pending.begin(), end);
    return records;
}

}  // namespace fernlift::cell
