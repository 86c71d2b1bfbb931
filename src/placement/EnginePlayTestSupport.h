#pragma once

/**
 * Simulates streams on engines whose models EnginePlacement chooses, without a network. Routers
 * send a stream to the holder with the fewest streams, and queue it while no engine holds its
 * model.
 *
 * An engine generates one token of each stream per step, and a step takes longer with more streams.
 * An unload waits for the streams of its model, and an engine executes one order at a time.
 * Simulated time advances in fixed ticks. Not thread-safe.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Random.h"
#include "placement/EnginePlacement.h"

namespace fernlift::placement
{

/// Request rate of one model.
struct PlayedRate
{
    std::string model;
    double perSecond = 0;
};

/// Latencies of one stream as seen by its caller.
struct PlayedStream
{
    std::string model;
    base::TimePoint arrivedAt{};
    std::optional<base::Duration> waited;  ///< Time until an engine accepted it, if any.
    base::Duration longestPause{};         ///< Longest time between two of its events.
};

class EnginePlay
{
public:
    EnginePlay (std::size_t engines, std::size_t models, std::uint64_t seed);

    /// Sets the models that an engine holds and those that it has copies of.
    void place (std::size_t engine, const std::vector<std::string>& held,
                const std::set<std::string>& copies);
    /// Replaces an engine, with its streams and copies, by an empty one.
    void replace (std::size_t engine);
    /// Simulates requests at these rates for `duration`.
    void run (const std::vector<PlayedRate>& rates, base::Duration duration);

    /// Share of the streams arrived at `from` or later with a longer time between events.
    [[nodiscard]] double shareWithPausesOver (base::Duration pause, base::Duration from) const;
    /// Share of the streams arrived at `from` or later that waited longer for an engine.
    [[nodiscard]] double shareWaitingOver (base::Duration wait, base::Duration from) const;
    [[nodiscard]] std::size_t mostStoreLoads() const { return m_mostStoreLoads; }
    [[nodiscard]] static std::string modelName (std::size_t number);

private:
    /// Share of the streams accepted by `isCounted` for which `isLate` is true.
    template <class IsCounted, class IsLate>
    [[nodiscard]] double shareOf (const IsCounted& isCounted, const IsLate& isLate) const;

    struct Running
    {
        std::size_t stream = 0;  ///< Index in m_streams.
        std::string model;
        double tokensLeft = 0;
        double tokensToEvent = 0;
        base::TimePoint lastEventAt{};
    };
    struct Order
    {
        engine::ServiceOrder order;
        base::TimePoint doneAt{};  ///< End of a load; unused for unloads.
        bool isFromStore = false;
    };
    struct Engine
    {
        std::string id;
        std::set<std::string> held;
        std::set<std::string> copies;
        std::vector<Running> running;
        std::optional<Order> order;
        std::uint64_t sequence = 0;
        base::TimePoint heartbeatAt{};
    };

    void tick();
    void addArrivals (const std::vector<PlayedRate>& rates);
    void sendWaiting();
    void advanceStreams (Engine& engine);
    void advanceOrder (Engine& engine);
    void acceptOrder (const SendEngineOrder& order);
    void reportDemand();
    void sendHeartbeat (Engine& engine);
    /// The routable holder with the fewest streams; null if there is none.
    [[nodiscard]] Engine* holderOf (const std::string& model);
    [[nodiscard]] base::TimePoint start() const { return base::TimePoint (base::seconds (1000)); }

    EnginePlacement m_placement;
    base::Random m_random;
    std::vector<Engine> m_engines;
    std::map<std::string, cell::RoutableInstance> m_rows;
    std::vector<PlayedStream> m_streams;
    std::vector<std::size_t> m_waiting;
    std::map<std::string, std::uint32_t> m_arrivals;  ///< Arrivals by model since the last report.
    base::TimePoint m_now;
    base::TimePoint m_reportedAt{};
    bool m_isUrgent = false;
    std::size_t m_replaced = 0;
    std::size_t m_mostStoreLoads = 0;
};

}  // namespace fernlift::placement
