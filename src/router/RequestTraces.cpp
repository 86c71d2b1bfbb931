#include "router/RequestTraces.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <utility>

namespace fernlift::router
{
namespace
{

constexpr std::size_t kMaxSteps = 64;

}  // namespace

void RequestTraces::begin (const base::RequestId& id, const std::string& target,
                           base::TimePoint now, base::UnixMilliseconds unixNow)
{
    if (m_maximum == 0)
        return;
    const bool isNew = ! m_traces.contains (id);
    if (isNew && m_order.size() == m_maximum)
    {
        m_traces.erase (m_order.front());
        m_order.pop_front();
    }
    if (isNew)
        m_order.push_back (id);
    m_traces[id] = Trace{ target, now, unixNow, {} };
}

void RequestTraces::add (const base::RequestId& id, base::TimePoint now, std::string step)
{
    const auto trace = m_traces.find (id);
    if (trace == m_traces.end() || trace->second.steps.size() >= kMaxSteps)
        return;
    trace->second.steps.push_back (Step{ now, std::move (step) });
}

std::string RequestTraces::toJson (const base::RequestId& id) const
{
    const auto entry = m_traces.find (id);
    if (entry == m_traces.end())
        return "";
    const Trace& trace = entry->second;
    QJsonArray steps;
    for (const Step& step : trace.steps)
    {
        QJsonObject object;
        object[QStringLiteral ("at_ms")] =
            static_cast<qint64> (base::toMilliseconds (step.at - trace.arrivedAt));
        object[QStringLiteral ("step")] = QString::fromStdString (step.text);
        steps.append (object);
    }
    QJsonObject document;
    document[QStringLiteral ("request")] = QString::fromStdString (id.value);
    document[QStringLiteral ("target")] = QString::fromStdString (trace.target);
    document[QStringLiteral ("arrived_unix_ms")] = static_cast<qint64> (trace.arrivedUnix);
    document[QStringLiteral ("steps")] = steps;
    return QJsonDocument (document).toJson (QJsonDocument::Compact).toStdString();
}

}  // namespace fernlift::router
