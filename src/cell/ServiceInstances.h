#pragma once

/// Replicated table of the runners that registered themselves by heartbeat. Not thread-safe.

#include <boost/serialization/map.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <boost/serialization/version.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"

namespace fernlift::cell
{

/// A model that a registered runner holds.
struct HeldModel
{
    std::string model;
    std::uint64_t version = 0;
    std::vector<std::string> adapters;

    bool operator== (const HeldModel&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& model& version& adapters;
    }
};

/// Sorts models and adapters by name, so that equal lists of held models compare equal regardless
/// of their sender.
[[nodiscard]] std::vector<HeldModel> sortedByName (std::vector<HeldModel> models);

/// One run of a runner. A restarted runner is another instance, or a later incarnation of the same
/// instance; the state of the earlier incarnation does not apply to it.
struct ServiceInstance
{
    static constexpr unsigned kStartVersion = 1;  ///< First layout version with `startedAt`.

    std::string id;
    std::string service;
    std::string address;  ///< "ip:port".
    std::string zone;
    std::uint32_t slots = 1;  ///< Maximum number of concurrent requests.
    bool isDraining = false;  ///< Receives no new requests.
    bool isReported = false;  ///< Whether the runner has reported its models.
    std::vector<HeldModel> models;
    base::UnixMilliseconds startedAt = 0;  ///< Start of this incarnation; 0: not reported.

    bool operator== (const ServiceInstance&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned version)
    {
        archive& id& service& address& zone& slots& isDraining& isReported& models;
        if (version >= kStartVersion)
            archive& startedAt;
    }
};

/// Whether the incarnation that started at `left` is earlier than the one that started at `right`.
/// False if `left` is 0: incarnations without a start time cannot be distinguished.
[[nodiscard]] constexpr bool isEarlierIncarnation (base::UnixMilliseconds left,
                                                   base::UnixMilliseconds right)
{
    return left != 0 && left < right;
}

/// Identifies one incarnation of an instance in crash reports, because a crash of an earlier
/// incarnation is no crash of a later one.
struct Incarnation
{
    std::string id;
    base::UnixMilliseconds startedAt = 0;  ///< Start of the incarnation; 0: not reported.

    /// "ID@START", or the id alone if the start is not reported.
    [[nodiscard]] std::string name() const;
    /// Inverse of name().
    [[nodiscard]] static Incarnation fromName (std::string_view name);

    bool operator== (const Incarnation&) const = default;
};

/// An instance that deregistered itself.
struct Deregistration
{
    std::string id;
    base::UnixMilliseconds startedAt = 0;  ///< 0: unknown; any incarnation with a start is later.

    bool operator== (const Deregistration&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& id& startedAt;
    }
};

/// Table of instances. Draining and deregistration are final for an incarnation of an instance: a
/// late message never reverts them. Where a function takes the start of an incarnation, 0 stands
/// for the known incarnation, and the start of an earlier incarnation changes nothing.
class ServiceInstances
{
public:
    static constexpr unsigned kStartVersion = 1;  ///< First layout that distinguishes incarnations.

    /// Adds an instance, or replaces the known incarnation by a later one. Returns false if the
    /// incarnation is known or has deregistered. Another instance at the same address is kept until
    /// it is removed, because only an answer shows which of the two still runs.
    bool add (const ServiceInstance& instance);
    /// Whether add() would change anything.
    [[nodiscard]] bool differsFromRecorded (const ServiceInstance& instance) const;
    /// Marks an instance as draining; returns false if it is unknown or already draining.
    bool drain (const std::string& id, base::UnixMilliseconds startedAt = 0);
    /// Sets the models that an instance holds; returns false if the instance is unknown or the
    /// models are unchanged.
    bool setModels (const std::string& id, const std::vector<HeldModel>& models,
                    base::UnixMilliseconds startedAt = 0);
    /// Removes an instance; returns false if it was unknown. An incarnation that is removed as
    /// deregistered is not added again.
    bool remove (const std::string& id, bool isDeregistered, base::UnixMilliseconds startedAt = 0);

    [[nodiscard]] const ServiceInstance* find (const std::string& id) const;
    /// Start of the known incarnation, or else of the last one that deregistered; 0: unknown.
    [[nodiscard]] base::UnixMilliseconds lastStartOf (const std::string& id) const;
    /// Whether this incarnation of the instance, or a later one, deregistered recently.
    [[nodiscard]] bool isDeregistered (const std::string& id,
                                       base::UnixMilliseconds startedAt = 0) const;
    [[nodiscard]] const std::map<std::string, ServiceInstance>& all() const { return m_instances; }

    bool operator== (const ServiceInstances&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned version)
    {
        archive& m_instances;
        if (version >= kStartVersion)
            archive& m_deregistered;
        else
            readDeregisteredIds (archive);
    }

private:
    static constexpr std::size_t kMaxDeregistrations = 256;

    /// Reads the earlier layout, which contains only ids.
    template <class Archive>
    void readDeregisteredIds (Archive& archive)
    {
        std::map<std::uint64_t, std::string> ids;
        archive& ids;
        m_deregistered.clear();
        for (auto& [order, id] : ids)
            m_deregistered[order] = { std::move (id), 0 };
    }
    /// Returns the known incarnation, or null if `startedAt` belongs to an earlier one.
    [[nodiscard]] ServiceInstance* findFor (const std::string& id,
                                            base::UnixMilliseconds startedAt);

    std::map<std::string, ServiceInstance> m_instances;
    /// Recent deregistrations in the order of removal.
    std::map<std::uint64_t, Deregistration> m_deregistered;
};

}  // namespace fernlift::cell

BOOST_CLASS_VERSION (fernlift::cell::ServiceInstance,
                     fernlift::cell::ServiceInstance::kStartVersion)
BOOST_CLASS_VERSION (fernlift::cell::ServiceInstances,
                     fernlift::cell::ServiceInstances::kStartVersion)
