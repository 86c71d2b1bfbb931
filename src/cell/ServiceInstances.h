#pragma once

/// The runners that registered themselves by heartbeat, as the cell has agreed on them.

#include <boost/serialization/map.hpp>
#include <boost/serialization/string.hpp>
#include <boost/serialization/vector.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

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

/// One start of a runner. A restarted runner is another instance.
struct ServiceInstance
{
    std::string id;
    std::string service;
    std::string address;  ///< "ip:port".
    std::string zone;
    std::uint32_t slots = 1;  ///< Requests it can run at once.
    bool isDraining = false;  ///< Gets no new requests.
    bool isReported = false;  ///< `models` is known.
    std::vector<HeldModel> models;

    bool operator== (const ServiceInstance&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& id& service& address& zone& slots& isDraining& isReported& models;
    }
};

/// Replicated table of instances. Draining and deregistration are final for an instance: a late
/// message never brings it back.
class ServiceInstances
{
public:
    /// Adds an instance; false when it is known or deregistered before. Another instance at the
    /// same address stays until it is removed: which of the two is gone shows only when one
    /// answers.
    bool add (const ServiceInstance& instance);
    /// Marks an instance as draining; false when it is unknown or drains already.
    bool drain (const std::string& id);
    /// Notes what an instance holds; false when it is unknown or that was known.
    bool noteModels (const std::string& id, const std::vector<HeldModel>& models);
    /// Removes an instance; false when it was unknown. One that is removed as deregistered is never
    /// added again.
    bool remove (const std::string& id, bool isDeregistered);

    [[nodiscard]] const ServiceInstance* find (const std::string& id) const;
    /// Whether an instance said lately that it ends.
    [[nodiscard]] bool isDeregistered (const std::string& id) const;
    [[nodiscard]] const std::map<std::string, ServiceInstance>& all() const { return m_instances; }

    bool operator== (const ServiceInstances&) const = default;
    template <class Archive>
    void serialize (Archive& archive, unsigned /*version*/)
    {
        archive& m_instances& m_deregistered;
    }

private:
    static constexpr std::size_t kRememberedDeregistrations = 256;

    std::map<std::string, ServiceInstance> m_instances;
    /// Ids deregistered lately, by the order of removal.
    std::map<std::uint64_t, std::string> m_deregistered;
};

}  // namespace fernlift::cell
