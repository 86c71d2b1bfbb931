#include "dispatch/StreamAssembler.h"

namespace fernlift::dispatch
{

PartVerdict StreamAssembler::accept (std::uint64_t offset, std::uint64_t count)
{
    if (offset > nextOffset_)
        return PartVerdict::kGap;
    if (offset == nextOffset_)
    {
        nextOffset_ += count;
        return PartVerdict::kPass;
    }
    if (offset + count <= nextOffset_)
        return PartVerdict::kDuplicate;
    // The part is opaque here, so its known half cannot be cut off.
    return PartVerdict::kGap;
}

}  // namespace fernlift::dispatch
