#pragma once

/**
 * Bound of the bytes that a process buffers for answers on their way to callers.
 *
 * All answers share one budget by dynamic thresholds: each may hold a fixed fraction of the bytes
 * that are free, so that a few slow callers get long buffers and many get short ones. Beyond the
 * budget each answer holds at most kMinBytesPerAnswer and one read.
 */

#include <cstddef>

namespace fernlift::http
{

/** Not thread-safe; lives on the thread of one event loop. */
class BufferBudget
{
public:
    /** Bytes that one answer may hold however little of the budget is free. */
    static constexpr std::size_t kMinBytesPerAnswer = 16UL * 1024;
    /** Bytes that one answer may hold while most of the budget is free. */
    static constexpr std::size_t kMaxBytesPerAnswer = 256UL * 1024;
    /** One answer may hold the free bytes divided by this. */
    static constexpr std::size_t kAnswersPerFreeBudget = 32;

    /** Bytes that one holder has taken from the budget. They are free again at its end. */
    class Usage
    {
    public:
        /** `budget` must outlive the usage. */
        explicit Usage (BufferBudget& budget) : m_budget (budget) {}
        ~Usage() { set (0); }
        Usage (const Usage&) = delete;
        Usage& operator= (const Usage&) = delete;

        /** Replaces the number of bytes that the holder has. */
        void set (std::size_t bytes)
        {
            m_budget.m_used += bytes;
            m_budget.m_used -= m_bytes;
            m_bytes = bytes;
        }

    private:
        BufferBudget& m_budget;
        std::size_t m_bytes = 0;
    };

    /** Default of the bytes that all answers of a process may hold. */
    static constexpr std::size_t kDefaultBytes = 32UL * 1024 * 1024;

    explicit BufferBudget (std::size_t maxBytes = kDefaultBytes) : m_maxBytes (maxBytes) {}
    BufferBudget (const BufferBudget&) = delete;
    BufferBudget& operator= (const BufferBudget&) = delete;

    void setMaxBytes (std::size_t maxBytes) { m_maxBytes = maxBytes; }
    /** Bytes that one answer may hold now. An answer that holds more is not read on. */
    [[nodiscard]] std::size_t maxBytesPerAnswer() const;
    [[nodiscard]] bool isExhausted() const { return m_used >= m_maxBytes; }
    /** Bytes that all holders have. */
    [[nodiscard]] std::size_t used() const { return m_used; }

private:
    std::size_t m_maxBytes;
    std::size_t m_used = 0;  ///< Sum over all usages.
};

}  // namespace fernlift::http
