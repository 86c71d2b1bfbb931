#include "controller/RecordedStreams.h"

#include <string>
#include <utility>

namespace fernlift::controller
{

void RecordedStreams::record (const cell::StreamRecords& records, base::TimePoint now)
{
    for (const cell::StreamNotice& stream : records.streams)
        m_streams.record (stream, now);
}

void RecordedStreams::recordAndPassOn (const cell::StreamRecords& records, base::TimePoint now)
{
    record (records, now);
    for (const cell::StreamNotice& stream : records.streams)
        m_batch.add (stream);
}

cell::StreamLookupReply RecordedStreams::answer (const cell::StreamLookup& lookup,
                                                 base::TimePoint now) const
{
    cell::StreamLookupReply reply;
    reply.sequence = lookup.sequence;
    for (const std::string& key : lookup.keys)
    {
        if (auto stream = m_streams.findNotice (key, now))
            reply.streams.push_back (std::move (*stream));
    }
    return reply;
}

}  // namespace fernlift::controller
