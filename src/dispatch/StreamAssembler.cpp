#include "dispatch/StreamAssembler.h"

namespace fernlift::dispatch
{

PartVerdict StreamAssembler::accept (std::uint64_t offset, std::uint64_t count)
{
    if (offset > m_nextOffset)
        return PartVerdict::kGap;
    if (offset == m_nextOffset)
    {
        m_nextOffset += count;
        return PartVerdict::kPass;
    }
    if (offset + count <= m_nextOffset)
        return PartVerdict::kDuplicate;
    // The part is opaque here, so the units that were passed before cannot be removed from it.
    return PartVerdict::kGap;
}

}  // namespace fernlift::dispatch
