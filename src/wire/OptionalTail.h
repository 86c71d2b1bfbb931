#pragma once

/**
 * Compatible extension of messages: fields that later versions add at the end.
 *
 * Processes of two versions run side by side while the machines of a cell are upgraded one after
 * the other. An older reader decodes the fields of its own version and ignores the remaining bytes.
 * A newer reader gives fields that were not written their default values.
 */

#include <boost/archive/archive_exception.hpp>
#include <optional>
#include <utility>

namespace fernlift::wire
{

/** Reads a field that was added after the first version of a message. Returns false if it was not
    written.
*/
template <class Archive, class Value>
bool readTail (Archive& archive, Value& value)
{
    try
    {
        archive >> value;
        return true;
    }
    catch (const boost::archive::archive_exception& exception)
    {
        if (exception.code != boost::archive::archive_exception::input_stream_error)
            throw;
        value = Value{};
        return false;
    }
}

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
        readTail (archive, value);
    }
}

/** The same for a field that is written only if it has a value, as the last one of its message. */
template <class Archive, class Value>
void serializeTail (Archive& archive, std::optional<Value>& value)
{
    if constexpr (Archive::is_saving::value)
    {
        if (value)
            archive << *value;
    }
    else
    {
        Value read{};
        value.reset();
        if (readTail (archive, read))
            value = std::move (read);
    }
}

}  // namespace fernlift::wire
