#include "standin/MachineListModel.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include "base/SocketAddress.h"

namespace fernlift::standin
{
namespace
{

constexpr std::size_t kRequiredParts = 6;

std::vector<std::string> split (std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (true)
    {
        const auto end = text.find (separator);
        parts.emplace_back (text.substr (0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix (end + 1);
    }
}

template <class Integer>
bool parseInteger (const std::string& text, Integer* target)
{
    const auto result = std::from_chars (text.data(), text.data() + text.size(), *target);
    return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

auto findMachine (engine::MachineList& list, const base::RunnerId& runner)
{
    return std::find_if (list.machines.begin(), list.machines.end(),
                         [&] (const engine::Machine& machine) { return machine.runner == runner; });
}

}  // namespace

MachineListModel::MachineListModel (engine::MachineList machines, base::Duration lag) : m_lag (lag)
{
    m_history.emplace_back (base::TimePoint::min(), std::move (machines));
}

void MachineListModel::put (const engine::Machine& machine, base::TimePoint now)
{
    auto& list = change (now);
    const auto found = findMachine (list, machine.runner);
    if (found == list.machines.end())
    {
        list.machines.push_back (machine);
    }
    else
    {
        *found = machine;
    }
}

bool MachineListModel::setState (const base::RunnerId& runner, engine::MachineState state,
                                 base::TimePoint now)
{
    auto& list = change (now);
    const auto found = findMachine (list, runner);
    if (found == list.machines.end())
        return false;
    found->state = state;
    return true;
}

bool MachineListModel::remove (const base::RunnerId& runner, base::TimePoint now)
{
    auto& list = change (now);
    const auto found = findMachine (list, runner);
    if (found == list.machines.end())
        return false;
    list.machines.erase (found);
    return true;
}

const engine::MachineList& MachineListModel::visible (base::TimePoint now)
{
    while (m_history.size() > 1 && m_history[1].first + m_lag <= now)
        m_history.pop_front();
    return m_history.front().second;
}

engine::MachineList& MachineListModel::change (base::TimePoint now)
{
    m_history.emplace_back (now, m_history.back().second);
    return m_history.back().second;
}

base::Result<engine::Machine> parseMachineFlag (std::string_view text)
{
    const auto invalid = [&] (const std::string& problem)
    {
        return base::fail (base::ErrorKind::kSettingsInvalid,
                           "machine '" + std::string (text) + "': " + problem);
    };
    const auto parts = split (text, ',');
    if (parts.size() != kRequiredParts && parts.size() != kRequiredParts + 1)
    {
        return invalid ("allowed: id,role,zone,address,memory_mb,accelerators[,app+app]");
    }
    engine::Machine machine;
    machine.runner.value = parts[0];
    if (parts[1] != "model" && parts[1] != "application")
    {
        return invalid ("found role '" + parts[1] + "', allowed: model, application");
    }
    machine.role = parts[1] == "model" ? engine::MachineRole::kModelRunner
                                       : engine::MachineRole::kApplicationRunner;
    machine.zone.value = parts[2];
    if (auto address = base::SocketAddress::parse (parts[3]); ! address)
        return address.error();
    machine.address = parts[3];
    if (! parseInteger (parts[4], &machine.memory))
        return invalid ("memory_mb is not a whole number");
    if (! parseInteger (parts[5], &machine.accelerators))
    {
        return invalid ("accelerators is not a whole number");
    }
    if (parts.size() > kRequiredParts)
    {
        for (auto& name : split (parts[kRequiredParts], '+'))
            machine.applications.emplace_back (name);
    }
    return machine;
}

}  // namespace fernlift::standin
