#pragma once

/// Base class of simulated engines and application back ends. They accept orders, send reports and
/// answer router attempts, each attempt over a connection of its own.

#include <memory>
#include <string>

#include "engine/EngineApi.h"
#include "router/RouterCore.h"
#include "sim/CallerRequest.h"
#include "sim/Process.h"
#include "sim/World.h"

namespace fernlift::sim
{

class RouterNode;

/// A router's attempt to run a request, as the back end receives it.
struct Attempt
{
    RouterNode* router = nullptr;
    std::uint64_t routerRunNumber = 0;
    router::AttemptId id = 0;
    ConnectionPointer connection;
    CallerRequestPointer request;
    cell::RoutableReplica replica;
    int urgency = 0;
    std::uint64_t resumeFrom = 0;

    /// Sends an event to the router that made the attempt.
    void sendEvent (router::AttemptEvent event) const;
};

class BackEnd : public Process
{
public:
    BackEnd (World& world, NodeId node, const std::string& name, engine::Machine machine);

    virtual void start() = 0;
    virtual engine::OrderAnswer onOrder (const engine::Order& order) = 0;
    virtual engine::Report report() = 0;
    virtual void submit (Attempt attempt) = 0;
    virtual void setLeaving (bool isLeaving) = 0;
    [[nodiscard]] virtual bool isLeaving() const = 0;
    [[nodiscard]] virtual bool isBusy() = 0;

    [[nodiscard]] const engine::Machine& machine() const { return m_machine; }
    [[nodiscard]] base::Incarnation incarnation() const { return m_incarnation; }
    /// Replaces the reclaimed machine by one of the same size with a new name and address.
    void replaceMachine (const base::RunnerId& runner, const std::string& address)
    {
        m_machine.runner = runner;
        m_machine.address = address;
    }

protected:
    [[nodiscard]] World& world() { return m_world; }
    void drawIncarnation()
    {
        m_incarnation = static_cast<base::Incarnation> (random().bits() >> 11);
    }

private:
    World& m_world;
    engine::Machine m_machine;
    base::Incarnation m_incarnation = 0;
};

}  // namespace fernlift::sim
