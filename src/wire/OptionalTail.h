#pragma once

/**
 * Compatible extension of messages: fields that later versions add at the end.
 *
 * Processes of two versions run side by side while the machines of a cell are upgraded one after
 * the other. An older reader decodes the fields of its own version and ignores the remaining bytes.
 * A newer reader gives fields that were not written their default values.
 */

#include <boost/archive/archive_exception.hpp>

namespace fernlift::wire
{

/** Reads or writes a field that was added after the first version of a message. The message must be
    the whole payload: a missing field is detected by the end of the input, which a message nested
    in another one does not have.
*/
template <class Archive, class Value>
void serializeTail (Archive& archive, Value& value)
{
    if constexpr (Archive::is_saving::value)
    {
        archive << value;
    }
    else
    {
        try
        {
            archive >> value;
        }
        catch (const boost::archive::archive_exception& exception)
        {
            if (exception.code != boost::archive::archive_exception::input_stream_error)
                throw;
            value = Value{};
        }
    }
}

}  // namespace fernlift::wire
