#pragma once

/**
 * Fields that later versions add at the end of a message.
 *
 * Processes of two versions run side by side while the machines of a cell are upgraded one after
 * the other. A reader takes the fields that it knows and leaves the rest of the bytes; one that
 * knows more fields than were written takes the missing ones as never set.
 */

#include <boost/archive/archive_exception.hpp>

namespace fernlift::wire
{

/** Reads or writes a field behind the last one that earlier versions know. The message must be the
    whole payload: inside of another one there would be no end to notice.
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
