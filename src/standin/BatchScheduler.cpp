#include "standin/BatchScheduler.h"

#include <algorithm>
#include <utility>

#include "base/Digest.h"
#include "engine/JsonFields.h"
#include "engine/PromptBlocks.h"

namespace fernlift::standin
{
namespace
{

constexpr std::size_t kTokensPerBlock = 16;
constexpr std::size_t kKeptCaches = 256;

}  // namespace

std::size_t BatchScheduler::Request::kvBlocks() const
{
    return blocks.size() + 1 + nextToken / kTokensPerBlock;
}

BatchScheduler::BatchScheduler (const EngineOptions& options)
    : m_options (options), m_cache (options.cacheBlocks, options.cacheEventDelay)
{
}

SubmitOutcome BatchScheduler::submit (const EngineRequest& request, base::ReplicaId replica,
                                      base::TimePoint now)
{
    if (waiting() >= m_options.maximumWaiting)
    {
        return { false,
                 0,
                 { base::ErrorKind::kQueueFull, "too many requests wait at the engine" } };
    }
    Request entry{ request, replica, AnswerText (request.target, request.prompt), {}, 0, 0, false,
                   {},      {} };
    entry.blocks = engine::promptBlockHashes (request.prompt);
    entry.nextToken = std::min (request.resumeFrom, request.maxTokens);
    m_requests.emplace (++m_lastHandle, std::move (entry));
    if (! m_nextStep)
        m_nextStep = now + stepTime();
    return { true, m_lastHandle, {} };
}

void BatchScheduler::cancel (RequestHandle handle)
{
    const auto found = m_requests.find (handle);
    if (found != m_requests.end())
        finish (found, LedgerState::kCancelled);
}

void BatchScheduler::cancelById (const std::string& requestId)
{
    for (auto request = m_requests.begin(); request != m_requests.end();)
    {
        const auto current = request++;
        if (current->second.input.id == requestId)
            finish (current, LedgerState::kCancelled);
    }
}

void BatchScheduler::refuseWaiting (base::ReplicaId replica)
{
    for (auto request = m_requests.begin(); request != m_requests.end();)
    {
        const auto current = request++;
        if (current->second.replica != replica || current->second.hasRun())
            continue;
        const base::Error refusal{ base::ErrorKind::kNoCapacity, "the replica is being unloaded" };
        m_effects.emplace_back (AnswerRefused{ current->first, refusal });
        m_requests.erase (current);
    }
}

void BatchScheduler::advance (base::TimePoint now, const EngineFaults& faults)
{
    while (m_nextStep && *m_nextStep <= now)
    {
        const base::TimePoint at = *m_nextStep;
        runStep (at, faults);
        m_nextStep.reset();
        if (! m_requests.empty())
            m_nextStep = at + stepTime();
    }
}

void BatchScheduler::runStep (base::TimePoint now, const EngineFaults& faults)
{
    fillSlots (now);
    for (auto request = m_requests.begin(); request != m_requests.end();)
    {
        const auto current = request++;
        if (! current->second.isRunning || faults.isSilent)
            continue;
        if (advanceRequest (current->first, current->second, faults, now))
        {
            const bool isWhole = current->second.nextToken >= current->second.input.maxTokens;
            finish (current, isWhole ? LedgerState::kEnded : LedgerState::kBroken);
        }
    }
    reserveBlocks (now);
}

void BatchScheduler::fillSlots (base::TimePoint now)
{
    while (true)
    {
        const auto next = mostUrgentWaiting();
        if (next == m_requests.end())
            return;
        if (running() >= m_options.slots)
        {
            const auto victim = leastUrgentRunning();
            if (victim->second.input.priority <= next->second.input.priority)
                return;
            victim->second.isRunning = false;
        }
        start (next->second, now);
    }
}

void BatchScheduler::start (Request& request, base::TimePoint now)
{
    request.isRunning = true;
    if (request.hasRun())
        return;
    request.ledgerIndex = m_ledger.size();
    m_ledger.push_back ({ request.input.id, request.input.idempotencyKey, request.input.target,
                          request.replica, now, request.input.resumeFrom, 0,
                          LedgerState::kRunning });
    const auto kept = m_keptCaches.find (request.input.id);
    const bool isImported = kept != m_keptCaches.end()
                            && kept->second.target == request.input.target
                            && kept->second.promptDigest == base::sha256Hex (request.input.prompt);
    const std::size_t cached = m_cache.match (request.input.target, request.blocks);
    request.blocksToPrefill = isImported ? 0 : request.blocks.size() - cached;
}

BatchScheduler::Requests::iterator BatchScheduler::mostUrgentWaiting()
{
    auto best = m_requests.end();
    for (auto request = m_requests.begin(); request != m_requests.end(); ++request)
    {
        if (request->second.isRunning)
            continue;
        if (best == m_requests.end()
            || request->second.input.priority < best->second.input.priority)
        {
            best = request;
        }
    }
    return best;
}

BatchScheduler::Requests::iterator BatchScheduler::leastUrgentRunning()
{
    auto worst = m_requests.end();
    for (auto request = m_requests.begin(); request != m_requests.end(); ++request)
    {
        if (! request->second.isRunning)
            continue;
        if (worst == m_requests.end()
            || request->second.input.priority >= worst->second.input.priority)
        {
            worst = request;
        }
    }
    return worst;
}

bool BatchScheduler::advanceRequest (RequestHandle handle, Request& request,
                                     const EngineFaults& faults, base::TimePoint now)
{
    if (request.blocksToPrefill > 0)
    {
        request.blocksToPrefill -=
            std::min<std::size_t> (request.blocksToPrefill, m_options.prefillBlocksPerStep);
        if (request.blocksToPrefill > 0)
            return false;
        m_cache.store (request.input.target, request.blocks, now);
        return false;
    }
    if (request.nextToken < request.input.maxTokens)
        emitToken (handle, request, faults);
    const std::uint64_t generated = request.nextToken - request.input.resumeFrom;
    if (request.nextToken >= request.input.maxTokens)
    {
        if (request.delayedChunk)
            m_effects.emplace_back (*request.delayedChunk);
        m_effects.emplace_back (AnswerEnded{ handle });
        return true;
    }
    if (faults.breakAfterTokens && generated >= *faults.breakAfterTokens)
    {
        m_effects.emplace_back (AnswerBroken{ handle });
        return true;
    }
    return false;
}

void BatchScheduler::emitToken (RequestHandle handle, Request& request, const EngineFaults& faults)
{
    TokenChunk chunk{ handle, request.nextToken, 1, request.text.token (request.nextToken) };
    ++request.nextToken;
    ++m_ledger[*request.ledgerIndex].tokens;
    emitChunk (request, std::move (chunk), faults);
}

void BatchScheduler::emitChunk (Request& request, TokenChunk chunk, const EngineFaults& faults)
{
    const bool isFaulty = request.input.isStreaming;
    if (isFaulty && faults.reordersChunks && ! request.delayedChunk)
    {
        request.delayedChunk = std::move (chunk);
        return;
    }
    m_effects.emplace_back (chunk);
    if (isFaulty && faults.repeatsChunks)
        m_effects.emplace_back (std::move (chunk));
    if (request.delayedChunk)
    {
        m_effects.emplace_back (std::move (*request.delayedChunk));
        request.delayedChunk.reset();
    }
}

void BatchScheduler::finish (Requests::iterator request, LedgerState state)
{
    if (request->second.hasRun())
    {
        m_ledger[*request->second.ledgerIndex].state = state;
        keepCache (request->second);
    }
    m_requests.erase (request);
}

void BatchScheduler::keepCache (const Request& request)
{
    const KeptCache kept{ request.input.target, base::sha256Hex (request.input.prompt) };
    if (m_keptCaches.insert_or_assign (request.input.id, kept).second)
    {
        m_keptOrder.push_back (request.input.id);
    }
    if (m_keptOrder.size() <= kKeptCaches)
        return;
    m_keptCaches.erase (m_keptOrder.front());
    m_keptOrder.pop_front();
}

void BatchScheduler::reserveBlocks (base::TimePoint now)
{
    std::size_t blocks = 0;
    for (const auto& [handle, request] : m_requests)
    {
        if (request.hasRun())
            blocks += request.kvBlocks();
    }
    m_cache.setReserved (blocks, now);
}

base::Duration BatchScheduler::stepTime() const
{
    return m_options.stepTime
           + m_options.stepTimePerRequest * static_cast<std::int64_t> (running());
}

bool BatchScheduler::isBusy (base::ReplicaId replica) const
{
    return std::any_of (m_requests.begin(), m_requests.end(),
                        [replica] (const auto& entry) { return entry.second.replica == replica; });
}

std::uint32_t BatchScheduler::running (std::optional<base::ReplicaId> replica) const
{
    return static_cast<std::uint32_t> (std::count_if (
        m_requests.begin(), m_requests.end(),
        [&] (const auto& entry)
        { return entry.second.isRunning && (! replica || entry.second.replica == *replica); }));
}

std::uint32_t BatchScheduler::waiting (std::optional<base::ReplicaId> replica) const
{
    return static_cast<std::uint32_t> (std::count_if (
        m_requests.begin(), m_requests.end(),
        [&] (const auto& entry)
        { return ! entry.second.isRunning && (! replica || entry.second.replica == *replica); }));
}

std::string BatchScheduler::exportCache (const std::string& requestId) const
{
    KeptCache kept;
    const auto running =
        std::find_if (m_requests.begin(), m_requests.end(),
                      [&] (const auto& entry)
                      { return entry.second.input.id == requestId && entry.second.hasRun(); });
    if (running != m_requests.end())
    {
        kept = { running->second.input.target, base::sha256Hex (running->second.input.prompt) };
    }
    else if (const auto found = m_keptCaches.find (requestId); found != m_keptCaches.end())
    {
        kept = found->second;
    }
    else
    {
        return {};
    }
    QJsonObject object;
    object[QLatin1String ("target")] = engine::jsonText (kept.target);
    object[QLatin1String ("prompt_digest")] = engine::jsonText (kept.promptDigest);
    return engine::writeJson (object);
}

bool BatchScheduler::importCache (const std::string& requestId, const std::string& bytes)
{
    KeptCache kept;
    const bool isGood = base::handleErrors (
        [&]() -> base::Result<bool>
        {
            auto object = engine::parseJsonObject (bytes);
            if (! object)
                return object.error();
            engine::JsonFields fields (object.value());
            fields.readText ("target", &kept.target).readText ("prompt_digest", &kept.promptDigest);
            return ! fields.failed();
        },
        [] (const base::Error&) { return false; });
    if (! isGood)
        return false;
    if (m_keptCaches.insert_or_assign (requestId, kept).second)
        m_keptOrder.push_back (requestId);
    return true;
}

std::vector<EngineEffect> BatchScheduler::takeEffects() { return std::exchange (m_effects, {}); }

}  // namespace fernlift::standin
