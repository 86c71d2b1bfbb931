#include "log/Log.h"

#include <unistd.h>

#include <array>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <cstdlib>
#include <mutex>

#include "base/Time.h"
#include "log/Format.h"
#include "log/LineOutput.h"

namespace fernlift::log
{
namespace
{

namespace boostlog = boost::log;

using Fields = std::vector<Field>;
class LineBackend;
using Sink = boostlog::sinks::synchronous_sink<LineBackend>;
using Logger = boostlog::sources::severity_logger_mt<Severity>;

constexpr const char* kTimestampAttribute = "Timestamp";
constexpr const char* kEventAttribute = "Event";
constexpr const char* kFieldsAttribute = "Fields";

constexpr std::array kEvents{
#define FERNLIFT_EVENT(number, name, severity, summary, action) \
    EventTraits{ number, #name, Severity::k##severity, summary, action },
#include "log/events/AllEvents.def"
#undef FERNLIFT_EVENT
};

void noteOmitted (Event event);

std::string timestampOf (const boostlog::record_view& view)
{
    const auto time = boostlog::extract<boost::posix_time::ptime> (kTimestampAttribute, view);
    return time ? boost::posix_time::to_iso_extended_string (*time) + "Z" : std::string();
}

void formatRecord (const Options& options, const boostlog::record_view& view,
                   boostlog::formatting_ostream& stream)
{
    const auto event = boostlog::extract<Event> (kEventAttribute, view);
    const auto fields = boostlog::extract<Fields> (kFieldsAttribute, view);
    if (! event || ! fields)
        return;
    const Record record{ timestampOf (view), options.program, options.instance, traitsOf (*event),
                         *fields };
    stream << (options.format == Format::kJson ? formatJson (record) : formatText (record));
}

/// Sink backend that drops lines instead of blocking on the stream.
class LineBackend final
    : public boostlog::sinks::basic_formatted_sink_backend<
          char, boostlog::sinks::combine_requirements<boostlog::sinks::synchronized_feeding>::type>
{
public:
    explicit LineBackend (Destination destination)
        : m_output (destination == Destination::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO)
    {
    }

    void consume (const boostlog::record_view& view, const string_type& line)
    {
        if (m_output.write (line))
            return;
        const auto event = boostlog::extract<Event> (kEventAttribute, view);
        if (event)
            noteOmitted (*event);
    }

private:
    LineOutput m_output;
};

boost::shared_ptr<Sink> makeSink (const Options& options)
{
    auto backend = boost::make_shared<LineBackend> (options.destination);
    auto sink = boost::make_shared<Sink> (backend);
    sink->set_formatter (
        [options] (const boostlog::record_view& view, boostlog::formatting_ostream& stream)
        { formatRecord (options, view, stream); });
    sink->set_filter (
        [minimum = options.minimumSeverity] (const boostlog::attribute_value_set& set)
        {
            const auto severity = boostlog::extract<Severity> ("Severity", set);
            return severity && *severity >= minimum;
        });
    return sink;
}

/// Process-wide log output: sink, logger and rate limit.
class Output
{
public:
    void replaceSink (const Options& options)
    {
        const std::lock_guard lock (m_mutex);
        const auto core = boostlog::core::get();
        if (m_sink == nullptr)
        {
            core->add_global_attribute (kTimestampAttribute, boostlog::attributes::utc_clock());
        }
        else
        {
            core->remove_sink (m_sink);
        }
        m_sink = makeSink (options);
        core->add_sink (m_sink);
    }

    Logger& logger() { return m_logger; }

    /// Whether a line may be written; `omitted` receives the counts to report.
    bool admit (const EventTraits& traits, std::vector<OmittedLines>* omitted)
    {
        const std::lock_guard lock (m_budgetMutex);
        const base::TimePoint now = m_clock.now();
        *omitted = m_budget.takeOmitted (now);
        return m_budget.admit (traits, now);
    }
    void noteOmitted (Event event)
    {
        const std::lock_guard lock (m_budgetMutex);
        m_budget.noteOmitted (event);
    }
    std::vector<OmittedLines> takeAllOmitted()
    {
        const std::lock_guard lock (m_budgetMutex);
        return m_budget.takeAllOmitted();
    }

private:
    std::mutex m_mutex;
    boost::shared_ptr<Sink> m_sink;
    Logger m_logger;
    std::mutex m_budgetMutex;
    base::SystemClock m_clock;
    LineBudget m_budget;
};

/// Never destroyed, so that events can be written from any destructor.
Output& output()
{
    static Output* const instance = []
    {
        auto* const created = new Output;  // NOLINT(cppcoreguidelines-owning-memory)
        created->replaceSink (Options{});
        return created;
    }();
    return *instance;
}

void noteOmitted (Event event) { output().noteOmitted (event); }

void writeRecord (Event event, const EventTraits& traits, const Fields& fields)
{
    BOOST_LOG_SEV (output().logger(), traits.severity) << boostlog::add_value (
        kEventAttribute, event) << boostlog::add_value (kFieldsAttribute, fields);
}

void writeOmitted (const std::vector<OmittedLines>& omitted)
{
    for (const OmittedLines& lines : omitted)
    {
        writeRecord (Event::kLogLinesOmitted, traitsOf (Event::kLogLinesOmitted),
                     { { "event", traitsOf (lines.event).name }, { "count", lines.count } });
    }
}

}  // namespace

std::span<const EventTraits> allEvents() { return kEvents; }

const EventTraits& traitsOf (Event event)
{
    for (const EventTraits& traits : kEvents)
    {
        if (traits.number == static_cast<int> (event))
            return traits;
    }
    std::abort();  // Unreachable: enumerators and table are generated from the same list.
}

void initialize (const Options& options) { output().replaceSink (options); }

void write (Event event, std::initializer_list<Field> fields)
{
    const EventTraits& traits = traitsOf (event);
    std::vector<OmittedLines> omitted;
    const bool isAdmitted = output().admit (traits, &omitted);
    writeOmitted (omitted);
    if (isAdmitted)
        writeRecord (event, traits, Fields (fields));
}

void reportOmitted() { writeOmitted (output().takeAllOmitted()); }

}  // namespace fernlift::log
