#include "engine/JsonFields.h"

#include <QJsonDocument>
#include <cmath>

namespace fernlift::engine
{
namespace
{

QString toQString (std::string_view text)
{
    return QString::fromUtf8 (text.data(), static_cast<qsizetype> (text.size()));
}

std::string describe (const QJsonValue& value)
{
    switch (value.type())
    {
        case QJsonValue::Null:
            return "null";
        case QJsonValue::Bool:
            return "a boolean";
        case QJsonValue::Double:
            return "the number " + std::to_string (value.toDouble());
        case QJsonValue::String:
            return "a text";
        case QJsonValue::Array:
            return "an array";
        case QJsonValue::Object:
            return "an object";
        case QJsonValue::Undefined:
            break;
    }
    return "nothing";
}

}  // namespace

JsonFields::JsonFields (QJsonObject object, std::string path)
    : m_object (std::move (object)), m_path (std::move (path))
{
}

JsonFields& JsonFields::readText (std::string_view key, std::string* target)
{
    if (failed())
        return *this;
    const QJsonValue value = valueOf (key);
    if (! value.isString())
        return problem (key, "found " + describe (value) + ", allowed: a text");
    *target = value.toString().toStdString();
    return *this;
}

JsonFields& JsonFields::readBoolean (std::string_view key, bool* target)
{
    if (failed())
        return *this;
    const QJsonValue value = valueOf (key);
    if (! value.isBool())
        return problem (key, "found " + describe (value) + ", allowed: a boolean");
    *target = value.toBool();
    return *this;
}

JsonFields& JsonFields::readReal (std::string_view key, double* target)
{
    if (failed())
        return *this;
    const QJsonValue value = valueOf (key);
    if (! value.isDouble())
        return problem (key, "found " + describe (value) + ", allowed: a number");
    *target = value.toDouble();
    return *this;
}

JsonFields& JsonFields::readTexts (std::string_view key, std::vector<std::string>* target)
{
    const QJsonArray array = arrayAt (key);
    for (qsizetype index = 0; index < array.size(); ++index)
    {
        const QJsonValue value = array.at (index);
        if (! value.isString())
        {
            const std::string element = std::string (key) + "[" + std::to_string (index) + "]";
            return problem (element, "found " + describe (value) + ", allowed: a text");
        }
        target->push_back (value.toString().toStdString());
    }
    return *this;
}

bool JsonFields::has (std::string_view key) const { return ! valueOf (key).isUndefined(); }

base::Result<void> JsonFields::finish() const
{
    if (failed())
        return base::fail (base::ErrorKind::kMessageInvalid, m_problem);
    return {};
}

JsonFields& JsonFields::problem (std::string_view key, const std::string& message)
{
    if (m_problem.empty())
        m_problem = pathOf (key) + ": " + message;
    return *this;
}

bool JsonFields::adoptProblem (const JsonFields& inner)
{
    if (inner.failed() && m_problem.empty())
        m_problem = inner.m_problem;
    return failed();
}

bool JsonFields::readUnsigned (std::string_view key, std::uint64_t maximum, std::uint64_t* target)
{
    if (failed())
        return false;
    const QJsonValue value = valueOf (key);
    const double number = value.toDouble (-1);
    const bool isInteger = value.isDouble() && number == std::floor (number);
    if (! isInteger || number < 0 || number > static_cast<double> (maximum))
    {
        problem (key, "found " + describe (value) + ", allowed: a whole number from 0 to "
                          + std::to_string (maximum));
        return false;
    }
    *target = static_cast<std::uint64_t> (value.toInteger());
    return true;
}

std::vector<JsonFields> JsonFields::objectsAt (std::string_view key)
{
    std::vector<JsonFields> objects;
    const QJsonArray array = arrayAt (key);
    for (qsizetype index = 0; index < array.size(); ++index)
    {
        const std::string element = std::string (key) + "[" + std::to_string (index) + "]";
        const QJsonValue value = array.at (index);
        if (! value.isObject())
        {
            problem (element, "found " + describe (value) + ", allowed: an object");
            return {};
        }
        objects.emplace_back (value.toObject(), pathOf (element));
    }
    return objects;
}

QJsonArray JsonFields::arrayAt (std::string_view key)
{
    if (failed())
        return {};
    const QJsonValue value = valueOf (key);
    if (! value.isArray())
        problem (key, "found " + describe (value) + ", allowed: an array");
    return value.toArray();
}

QJsonValue JsonFields::valueOf (std::string_view key) const
{
    return m_object.value (toQString (key));
}

std::string JsonFields::pathOf (std::string_view key) const
{
    return m_path.empty() ? std::string (key) : m_path + "." + std::string (key);
}

base::Result<QJsonObject> parseJsonObject (std::string_view json)
{
    QJsonParseError error;
    const auto document = QJsonDocument::fromJson (
        QByteArray (json.data(), static_cast<qsizetype> (json.size())), &error);
    if (error.error != QJsonParseError::NoError)
    {
        return base::fail (base::ErrorKind::kMessageInvalid,
                           "not JSON at byte " + std::to_string (error.offset) + ": "
                               + error.errorString().toStdString());
    }
    if (! document.isObject())
    {
        return base::fail (base::ErrorKind::kMessageInvalid, "not a JSON object");
    }
    return document.object();
}

std::string writeJson (const QJsonObject& object)
{
    return QJsonDocument (object).toJson (QJsonDocument::Compact).toStdString();
}

QJsonValue jsonText (std::string_view text) { return toQString (text); }

QJsonValue jsonInteger (std::uint64_t value) { return static_cast<qint64> (value); }

}  // namespace fernlift::engine
