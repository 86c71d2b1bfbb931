#pragma once

/// Strict reading of JSON objects: each wrong field is named with its path, what was found and what
/// is allowed. Fields that no reader asks for are ignored, so that a peer may add some.

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

/// Largest integer that every JSON implementation keeps exactly.
constexpr std::uint64_t kMaximumJsonInteger = (std::uint64_t{ 1 } << 53) - 1;

/// One name of an enumeration in JSON.
template <class Value>
struct JsonName
{
    Value value;
    std::string_view name;
};

/// Reads the fields of one JSON object. The first problem is kept; later reads do nothing.
class JsonFields
{
public:
    JsonFields (QJsonObject object, std::string path = {});

    JsonFields& readText (std::string_view key, std::string* target);
    JsonFields& readBoolean (std::string_view key, bool* target);
    JsonFields& readReal (std::string_view key, double* target);

    /// A whole number from 0 to 2^53 - 1 that fits the target.
    template <class Integer>
    JsonFields& readInteger (std::string_view key, Integer* target)
    {
        std::uint64_t value = 0;
        constexpr auto kTargetMaximum =
            static_cast<std::uint64_t> (std::numeric_limits<Integer>::max());
        if (readUnsigned (key, std::min (kTargetMaximum, kMaximumJsonInteger), &value))
        {
            *target = static_cast<Integer> (value);
        }
        return *this;
    }

    /// A text that is one of `names`.
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

    /// An array of objects; `readElement` reads one of them.
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

    /// An array of texts.
    JsonFields& readTexts (std::string_view key, std::vector<std::string>* target);

    /// True when the object has the field; for fields that may be left out.
    [[nodiscard]] bool has (std::string_view key) const;
    [[nodiscard]] bool failed() const { return ! m_problem.empty(); }
    /// Success, or kMessageInvalid with the first problem.
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

/// Parses bytes that must be one JSON object; fails with kMessageInvalid.
[[nodiscard]] base::Result<QJsonObject> parseJsonObject (std::string_view json);
/// Compact JSON text of an object.
[[nodiscard]] std::string writeJson (const QJsonObject& object);
/// A JSON string value.
[[nodiscard]] QJsonValue jsonText (std::string_view text);
/// A JSON number value.
[[nodiscard]] QJsonValue jsonInteger (std::uint64_t value);

}  // namespace fernlift::engine
