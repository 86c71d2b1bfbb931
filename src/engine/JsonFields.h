#pragma once

/// Strict parsing of JSON objects. The error for an invalid field contains its path, the value
/// found and the values allowed. Unknown fields are ignored, so that newer peers can add fields.

#include <QJsonArray>
#include <QJsonObject>
#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/Error.h"

namespace fernlift::engine
{

/// Largest integer that every JSON implementation represents exactly.
constexpr std::uint64_t kMaxJsonInteger = (std::uint64_t{ 1 } << 53) - 1;

/// JSON name of one value of an enumeration.
template <class Value>
struct JsonName
{
    Value value;
    std::string_view name;
};

/// Reader for the fields of one JSON object. After the first problem, which is kept, further reads
/// do nothing.
class JsonFields
{
public:
    JsonFields (QJsonObject object, std::string path = {});

    JsonFields& readText (std::string_view key, std::string* target);
    JsonFields& readBoolean (std::string_view key, bool* target);
    JsonFields& readReal (std::string_view key, double* target);

    /// Reads an integer from 0 to 2^53 - 1 that fits the type of the target.
    template <class Integer>
    JsonFields& readInteger (std::string_view key, Integer* target)
    {
        std::uint64_t value = 0;
        constexpr auto kTargetMaximum =
            static_cast<std::uint64_t> (std::numeric_limits<Integer>::max());
        if (readUnsigned (key, std::min (kTargetMaximum, kMaxJsonInteger), &value))
        {
            *target = static_cast<Integer> (value);
        }
        return *this;
    }

    /// Reads a string that is one of `names`.
    template <class Value, std::size_t kCount>
    JsonFields& readEnumeration (std::string_view key,
                                 const std::array<JsonName<Value>, kCount>& names, Value* target)
    {
        std::string text;
        readText (key, &text);
        if (failed())
            return *this;
        std::string allowed;
        for (const auto& entry : names)
        {
            if (entry.name == text)
            {
                *target = entry.value;
                return *this;
            }
            allowed += (allowed.empty() ? "" : ", ") + std::string (entry.name);
        }
        return problem (key, "found \"" + text + "\", allowed: " + allowed);
    }

    /// Reads an array of objects; `readElement` reads one of them.
    template <class Element>
    JsonFields& readObjects (std::string_view key, std::vector<Element>* target,
                             const std::function<void (JsonFields&, Element&)>& readElement)
    {
        for (auto& fields : objectsAt (key))
        {
            Element element;
            readElement (fields, element);
            if (adoptProblem (fields))
                return *this;
            target->push_back (std::move (element));
        }
        return *this;
    }

    /// Reads an array of strings.
    JsonFields& readTexts (std::string_view key, std::vector<std::string>* target);

    /// True if the object has the field; for optional fields.
    [[nodiscard]] bool has (std::string_view key) const;
    [[nodiscard]] bool failed() const { return ! m_problem.empty(); }
    /// Returns success, or fails with kMessageInvalid and the first problem.
    [[nodiscard]] base::Result<void> finish() const;

private:
    JsonFields& problem (std::string_view key, const std::string& message);
    bool adoptProblem (const JsonFields& inner);
    bool readUnsigned (std::string_view key, std::uint64_t maximum, std::uint64_t* target);
    std::vector<JsonFields> objectsAt (std::string_view key);
    QJsonArray arrayAt (std::string_view key);
    [[nodiscard]] QJsonValue valueOf (std::string_view key) const;
    [[nodiscard]] std::string pathOf (std::string_view key) const;

    QJsonObject m_object;
    std::string m_path;
    std::string m_problem;
};

/// Parses the text of one JSON object; fails with kMessageInvalid.
[[nodiscard]] base::Result<QJsonObject> parseJsonObject (std::string_view json);
/// Returns an object as compact JSON text.
[[nodiscard]] std::string writeJson (const QJsonObject& object);
/// Converts UTF-8 text to a JSON string.
[[nodiscard]] QJsonValue jsonText (std::string_view text);
/// Converts an integer, at most kMaxJsonInteger, to a JSON number.
[[nodiscard]] QJsonValue jsonInteger (std::uint64_t value);

}  // namespace fernlift::engine
