#pragma once

/**
 * Plays streams on engines whose models EnginePlacement chooses, without a network: routers send a
 * stream to the holder with the fewest, and keep it while no engine holds its model.
 *
 * An engine makes one token of each stream in a step, which takes longer the more streams run. An
 * unload waits for the streams of its model, and an engine carries out one order at a time. Time
 * goes on in ticks. Threading: none.
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

/// Requests for one model, in a second.
struct PlayedRate
{
    std::string model;
    double perSecond = 0;
};

/// What callers got.
struct PlayedStream
{
    std::string model;
    base::TimePoint arrivedAt{};
    std::optional<base::Duration> waited;  ///< Until an engine took it; none: it still waits.
    base::Duration longestPause{};         ///< Between its events.
};

class EnginePlay
{
public:
    EnginePlay (std::size_t engines, std::size_t models, std::uint64_t seed);

    /// Models that an engine holds and has copies of.
    void place (std::size_t engine, const std::vector<std::string>& held,
                const std::set<std::string>& copies);
    /// The engine is gone, with its streams and copies, and an empty one takes its place.
    void replace (std::size_t engine);
    /// Requests come at these rates for so long.
    void run (const std::vector<PlayedRate>& rates, base::Duration duration);

    /// Part of the streams that arrived from then on whose events were further apart.
    [[nodiscard]] double shareWithPausesOver (base::Duration pause, base::Duration from) const;
    /// Part of the streams that arrived from then on that waited longer for an engine.
    [[nodiscard]] double shareWaitingOver (base::Duration wait, base::Duration from) const;
    [[nodiscard]] std::size_t mostStoreLoads() const { return m_mostStoreLoads; }
    [[nodiscard]] static std::string modelName (std::size_t number);

private:
    /// Part of the streams that `isCounted` takes of which `isLate` is true.
    template <class IsCounted, class IsLate>
    [[nodiscard]] double shareOf (const IsCounted& isCounted, const IsLate& isLate) const;

    struct Running
    {
        std::size_t stream = 0;  ///< In m_streams.
        std::string model;
        double tokensLeft = 0;
        double tokensToEvent = 0;
        base::TimePoint lastEventAt{};
    };
    struct Order
    {
        engine::ServiceOrder order;
        base::TimePoint doneAt{};  ///< Of a load.
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
    /// The holder with the fewest streams, as routers see it; null: none.
    [[nodiscard]] Engine* holderOf (const std::string& model);
    [[nodiscard]] base::TimePoint start() const { return base::TimePoint (base::seconds (1000)); }

    EnginePlacement m_placement;
    base::Random m_random;
    std::vector<Engine> m_engines;
    std::map<std::string, cell::RoutableInstance> m_rows;
    std::vector<PlayedStream> m_streams;
    std::vector<std::size_t> m_waiting;
    std::map<std::string, std::uint32_t> m_arrivals;  ///< Since the last report.
    base::TimePoint m_now;
    base::TimePoint m_reportedAt{};
    bool m_isUrgent = false;
    std::size_t m_replaced = 0;
    std::size_t m_mostStoreLoads = 0;
};

}  // namespace fernlift::placement
