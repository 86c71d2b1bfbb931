#pragma once

/**
 * Software versions of streams that callers may resume, wherever they began.
 *
 * While runners of several versions serve, each router tells the other routers and the controllers
 * of a stream before it forwards the first event, so that the version is known when the router that
 * began it is gone. Nothing is kept while a service has one version.
 */

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"
#include "cell/StreamMessages.h"

namespace fernlift::cell
{

/** Identifies a stream: the request that received its first event, of one tenant and route. */
[[nodiscard]] std::string streamKeyOf (std::string_view tenant, std::string_view route,
                                       std::string_view request);

/** Pure: time is passed in. Threading: none; owned by one router or controller. */
class StreamVersions
{
public:
    /** About 10 MB. Beyond it the streams that were recorded first are forgotten. */
    static constexpr std::size_t kMaxStreams = 50'000;
    static constexpr std::size_t kMaxVersionBytes = 64;
    /** Time after which a stream is forgotten, however long its caller waits. */
    static constexpr base::Duration kMaxLifetime = std::chrono::minutes (20);

    /** Records the version of a stream until `expiresAt`. The first record of a key holds. */
    void record (const std::string& key, const std::string& version, base::TimePoint expiresAt);
    /** The same for a stream that a router states. Its lifetime is cut at kMaxLifetime. */
    void record (const StreamNotice& notice, base::TimePoint now);
    /** Returns the version of a stream; none if it is not known. */
    [[nodiscard]] std::optional<std::string> find (const std::string& key,
                                                   base::TimePoint now) const;
    /** Returns the stream with its remaining lifetime; none if it is not known. */
    [[nodiscard]] std::optional<StreamNotice> findNotice (const std::string& key,
                                                          base::TimePoint now) const;
    /** Returns up to `count` streams with keys after `after`, in the order of their keys. */
    [[nodiscard]] std::vector<StreamNotice> listAfter (const std::string& after, std::size_t count,
                                                       base::TimePoint now) const;
    void expire (base::TimePoint now);
    [[nodiscard]] std::size_t size() const { return m_streams.size(); }

private:
    struct Stream
    {
        std::string version;
        base::TimePoint expiresAt{};
    };

    std::map<std::string, Stream> m_streams;
    std::deque<std::string> m_order;  ///< Keys of m_streams, the first recorded one first.
};

}  // namespace fernlift::cell
