#pragma once

/**
 * Bound of the bytes that a process holds for the requests of its callers, from their arrival until
 * they are answered.
 *
 * When the budget is used up, the largest request that is still being received is refused. Small
 * requests are never refused for it, so that large ones can't shut them out.
 */

#include <cstddef>
#include <functional>
#include <set>

namespace fernlift::http
{

/** Not thread-safe; lives on the thread of one event loop. */
class RequestBudget
{
public:
    /** A request up to this size is received however much of the budget is used. */
    static constexpr std::size_t kMinBytesPerRequest = 16UL * 1024;
    /** Default of the bytes that all requests of a process may hold. */
    static constexpr std::size_t kDefaultBytes = 32UL * 1024 * 1024;

    /** Bytes that one connection holds of its current request. They are free again at its end. */
    class Usage
    {
    public:
        /** `budget` must outlive the usage. `refuse` is called when this request, which is still
            being received, has to make room for another one; it has to release the bytes.
        */
        Usage (RequestBudget& budget, std::function<void()> refuse);
        ~Usage();
        Usage (const Usage&) = delete;
        Usage& operator= (const Usage&) = delete;

        /** Sets the bytes held of a request that is being received. Returns false when this request
            has to be refused itself.
        */
        [[nodiscard]] bool receive (std::size_t bytes);
        /** Sets the bytes of a request that was received whole, which is not refused any more. */
        void hold (std::size_t bytes);
        void release() { hold (0); }

    private:
        friend class RequestBudget;
        void set (std::size_t bytes);

        RequestBudget& m_budget;
        std::function<void()> m_refuse;
        std::size_t m_bytes = 0;
        bool m_isReceiving = false;
    };

    explicit RequestBudget (std::size_t maxBytes = kDefaultBytes) : m_maxBytes (maxBytes) {}
    RequestBudget (const RequestBudget&) = delete;
    RequestBudget& operator= (const RequestBudget&) = delete;

    void setMaxBytes (std::size_t maxBytes) { m_maxBytes = maxBytes; }
    /** Bytes of all requests. */
    [[nodiscard]] std::size_t used() const { return m_used; }
    /** Requests refused to make room. */
    [[nodiscard]] std::size_t refused() const { return m_refused; }

private:
    /// Largest request that is being received; null if each is small.
    [[nodiscard]] Usage* largest() const;

    std::size_t m_maxBytes;
    std::size_t m_used = 0;  ///< Sum over all usages.
    std::size_t m_refused = 0;
    std::set<Usage*> m_usages;
};

}  // namespace fernlift::http
