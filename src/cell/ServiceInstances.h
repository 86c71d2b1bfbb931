#pragma once

/// The runners that registered themselves by heartbeat, as the cell has agreed on them.

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

/// Orders models and adapters by name, so that the same holdings are told in the same way by
/// whoever tells them.
[[nodiscard]] std::vector<HeldModel> inOrder (std::vector<HeldModel> models);

/// One start of a runner. A restarted runner is another instance, or a later incarnation of the
/// same one: what was known of the earlier one does not hold for it.
struct ServiceInstance
{
    static constexpr unsigned kStartVersion = 1;  ///< Of the layout, that has `startedAt`.

    std::string id;
    std::string service;
    std::string address;  ///< "ip:port".
    std::string zone;
    std::uint32_t slots = 1;  ///< Requests it can run at once.
    bool isDraining = false;  ///< Gets no new requests.
    bool isReported = false;  ///< `models` is known.
    std::vector<HeldModel> models;
    base::UnixMilliseconds startedAt = 0;  ///< Of this incarnation; 0: it does not tell.

    bool operator== (const ServiceInstance&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned version)
    {
        archive& id& service& address& zone& slots& isDraining& isReported& models;
        if (version >= kStartVersion)
            archive& startedAt;
    }
};

/// Whether a message of an incarnation started at `left` comes from an earlier one than that
/// started at `right`. Incarnations that do not tell when they started cannot be told apart.
[[nodiscard]] constexpr bool isEarlierIncarnation (base::UnixMilliseconds left,
                                                   base::UnixMilliseconds right)
{
    return left != 0 && left < right;
}

/// Names one incarnation of an instance in evidence about it: a later one did nothing of what an
/// earlier one did.
struct Incarnation
{
    std::string id;
    base::UnixMilliseconds startedAt = 0;  ///< 0: it does not tell.

    /// "ID@START", or the id alone.
    [[nodiscard]] std::string name() const;
    /// Inverse of name().
    [[nodiscard]] static Incarnation fromName (std::string_view name);

    bool operator== (const Incarnation&) const = default;
};

/// An instance that said that it ends.
struct Deregistration
{
    std::string id;
    base::UnixMilliseconds startedAt = 0;  ///< 0: not known; the next one that tells is another.

    bool operator== (const Deregistration&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& id& startedAt;
    }
};

/// Replicated table of instances. Draining and deregistration are final for an incarnation of an
/// instance: a late message never brings it back. Where an incarnation is named by its start, 0 is
/// the one that is known, and an earlier one changes nothing.
class ServiceInstances
{
public:
    static constexpr unsigned kStartVersion = 1;  ///< Of the layout, that tells incarnations apart.

    /// Adds an instance, or puts a later incarnation in the place of the known one; false when it
    /// is known or deregistered before. Another instance at the same address stays until it is
    /// removed: which of the two is gone shows only when one answers.
    bool add (const ServiceInstance& instance);
    /// Whether add() would change anything.
    [[nodiscard]] bool isNews (const ServiceInstance& instance) const;
    /// Marks an instance as draining; false when it is unknown or drains already.
    bool drain (const std::string& id, base::UnixMilliseconds startedAt = 0);
    /// Notes what an instance holds; false when it is unknown or that was known.
    bool noteModels (const std::string& id, const std::vector<HeldModel>& models,
                     base::UnixMilliseconds startedAt = 0);
    /// Removes an instance; false when it was unknown. An incarnation that is removed as
    /// deregistered is never added again.
    bool remove (const std::string& id, bool isDeregistered, base::UnixMilliseconds startedAt = 0);

    [[nodiscard]] const ServiceInstance* find (const std::string& id) const;
    /// Start of the incarnation that is known, or was the last one to be deregistered; 0: not
    /// known.
    [[nodiscard]] base::UnixMilliseconds lastStartOf (const std::string& id) const;
    /// Whether an instance said lately that it ends; a later incarnation of it has not.
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
    static constexpr std::size_t kRememberedDeregistrations = 256;

    /// Earlier layouts hold ids alone.
    template <class Archive>
    void readDeregisteredIds (Archive& archive)
    {
        std::map<std::uint64_t, std::string> ids;
        archive& ids;
        m_deregistered.clear();
        for (auto& [order, id] : ids)
            m_deregistered[order] = { std::move (id), 0 };
    }
    /// The incarnation that is known, unless `startedAt` names an earlier one.
    [[nodiscard]] ServiceInstance* findFor (const std::string& id,
                                            base::UnixMilliseconds startedAt);

    std::map<std::string, ServiceInstance> m_instances;
    /// Deregistered lately, by the order of removal.
    std::map<std::uint64_t, Deregistration> m_deregistered;
};

}  // namespace fernlift::cell

BOOST_CLASS_VERSION (fernlift::cell::ServiceInstance,
                     fernlift::cell::ServiceInstance::kStartVersion)
BOOST_CLASS_VERSION (fernlift::cell::ServiceInstances,
                     fernlift::cell::ServiceInstances::kStartVersion)
