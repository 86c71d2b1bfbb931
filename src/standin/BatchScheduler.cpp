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
    : options_ (options), cache_ (options.cacheBlocks, options.cacheEventDelay)
{
}

SubmitOutcome BatchScheduler::submit (const EngineRequest& request, base::ReplicaId replica,
                                      base::TimePoint now)
{
    if (waiting() >= options_.maximumWaiting)
    {
        return { false,
                 0,
                 { base::ErrorKind::kQueueFull, "too many requests wait at the engine" } };
    }
    Request entry{ request, replica, AnswerText (request.target, request.prompt), {}, 0, 0, false,
                   {},      {} };
    entry.blocks = engine::promptBlockHashes (request.prompt);
    entry.nextToken = std::min (request.resumeFrom, request.maxTokens);
    requests_.emplace (++lastHandle_, std::move (entry));
    if (! nextStep_)
        nextStep_ = now + stepTime();
    return { true, lastHandle_, {} };
}

void BatchScheduler::cancel (RequestHandle handle)
{
    const auto found = requests_.find (handle);
    if (found != requests_.end())
        finish (found, LedgerState::kCancelled);
}

void BatchScheduler::cancelById (const std::string& requestId)
{
    for (auto request = requests_.begin(); request != requests_.end();)
    {
        const auto current = request++;
        if (current->second.input.id == requestId)
            finish (current, LedgerState::kCancelled);
    }
}

void BatchScheduler::refuseWaiting (base::ReplicaId replica)
{
    for (auto request = requests_.begin(); request != requests_.end();)
    {
        const auto current = request++;
        if (current->second.replica != replica || current->second.hasRun())
            continue;
        const base::Error refusal{ base::ErrorKind::kNoCapacity, "the replica is being unloaded" };
        effects_.emplace_back (AnswerRefused{ current->first, refusal });
        requests_.erase (current);
    }
}

void BatchScheduler::advance (base::TimePoint now, const EngineFaults& faults)
{
    while (nextStep_ && *nextStep_ <= now)
    {
        const base::TimePoint at = *nextStep_;
        runStep (at, faults);
        nextStep_.reset();
        if (! requests_.empty())
            nextStep_ = at + stepTime();
    }
}

void BatchScheduler::runStep (base::TimePoint now, const EngineFaults& faults)
{
    fillSlots (now);
    for (auto request = requests_.begin(); request != requests_.end();)
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
        if (next == requests_.end())
            return;
        if (running() >= options_.slots)
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
    request.ledgerIndex = ledger_.size();
    ledger_.push_back ({ request.input.id, request.input.idempotencyKey, request.input.target,
                         request.replica, now, request.input.resumeFrom, 0,
                         LedgerState::kRunning });
    const auto kept = keptCaches_.find (request.input.id);
    const bool isImported = kept != keptCaches_.end() && kept->second.target == request.input.target
                            && kept->second.promptDigest == base::sha256Hex (request.input.prompt);
    const std::size_t cached = cache_.match (request.input.target, request.blocks);
    request.blocksToPrefill = isImported ? 0 : request.blocks.size() - cached;
}

BatchScheduler::Requests::iterator BatchScheduler::mostUrgentWaiting()
{
    auto best = requests_.end();
    for (auto request = requests_.begin(); request != requests_.end(); ++request)
    {
        if (request->second.isRunning)
            continue;
        if (best == requests_.end() || request->second.input.priority < best->second.input.priority)
        {
            best = request;
        }
    }
    return best;
}

BatchScheduler::Requests::iterator BatchScheduler::leastUrgentRunning()
{
    auto worst = requests_.end();
    for (auto request = requests_.begin(); request != requests_.end(); ++request)
    {
        if (! request->second.isRunning)
            continue;
        if (worst == requests_.end()
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
            std::min<std::size_t> (request.blocksToPrefill, options_.prefillBlocksPerStep);
        if (request.blocksToPrefill > 0)
            return false;
        cache_.store (request.input.target, request.blocks, now);
        return false;
    }
    if (request.nextToken < request.input.maxTokens)
        emitToken (handle, request, faults);
    const std::uint64_t generated = request.nextToken - request.input.resumeFrom;
    if (request.nextToken >= request.input.maxTokens)
    {
        if (request.delayedChunk)
            effects_.emplace_back (*request.delayedChunk);
        effects_.emplace_back (AnswerEnded{ handle });
        return true;
    }
    if (faults.breakAfterTokens && generated >= *faults.breakAfterTokens)
    {
        effects_.emplace_back (AnswerBroken{ handle });
        return true;
    }
    return false;
}

void BatchScheduler::emitToken (RequestHandle handle, Request& request, const EngineFaults& faults)
{
    TokenChunk chunk{ handle, request.nextToken, 1, request.text.token (request.nextToken) };
    ++request.nextToken;
    ++ledger_[*request.ledgerIndex].tokens;
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
    effects_.emplace_back (chunk);
    if (isFaulty && faults.repeatsChunks)
        effects_.emplace_back (std::move (chunk));
    if (request.delayedChunk)
    {
        effects_.emplace_back (std::move (*request.delayedChunk));
        request.delayedChunk.reset();
    }
}

void BatchScheduler::finish (Requests::iterator request, LedgerState state)
{
    if (request->second.hasRun())
    {
        ledger_[*request->second.ledgerIndex].state = state;
        keepCache (request->second);
    }
    requests_.erase (request);
}

void BatchScheduler::keepCache (const Request& request)
{
    const KeptCache kept{ request.input.target, base::sha256Hex (request.input.prompt) };
    if (keptCaches_.insert_or_assign (request.input.id, kept).second)
    {
        keptOrder_.push_back (request.input.id);
    }
    if (keptOrder_.size() <= kKeptCaches)
        return;
    keptCaches_.erase (keptOrder_.front());
    keptOrder_.pop_front();
}

void BatchScheduler::reserveBlocks (base::TimePoint now)
{
    std::size_t blocks = 0;
    for (const auto& [handle, request] : requests_)
    {
        if (request.hasRun())
            blocks += request.kvBlocks();
    }
    cache_.setReserved (blocks, now);
}

base::Duration BatchScheduler::stepTime() const
{
    return options_.stepTime + options_.stepTimePerRequest * static_cast<std::int64_t> (running());
}

bool BatchScheduler::isBusy (base::ReplicaId replica) const
{
    return std::any_of (requests_.begin(), requests_.end(),
                        [replica] (const auto& entry) { return entry.second.replica == replica; });
}

std::uint32_t BatchScheduler::running (std::optional<base::ReplicaId> replica) const
{
    return static_cast<std::uint32_t> (std::count_if (
        requests_.begin(), requests_.end(),
        [&] (const auto& entry)
        { return entry.second.isRunning && (! replica || entry.second.replica == *replica); }));
}

std::uint32_t BatchScheduler::waiting (std::optional<base::ReplicaId> replica) const
{
    return static_cast<std::uint32_t> (std::count_if (
        requests_.begin(), requests_.end(),
        [&] (const auto& entry)
        { return ! entry.second.isRunning && (! replica || entry.second.replica == *replica); }));
}

std::string BatchScheduler::exportCache (const std::string& requestId) const
{
    KeptCache kept;
    const auto running =
        std::find_if (requests_.begin(), requests_.end(),
                      [&] (const auto& entry)
                      { return entry.second.input.id == requestId && entry.second.hasRun(); });
    if (running != requests_.end())
    {
        kept = { running->second.input.target, base::sha256Hex (running->second.input.prompt) };
    }
    else if (const auto found = keptCaches_.find (requestId); found != keptCaches_.end())
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
    if (keptCaches_.insert_or_assign (requestId, kept).second)
        keptOrder_.push_back (requestId);
    return true;
}

std::vector<EngineEffect> BatchScheduler::takeEffects() { return std::exchange (effects_, {}); }

}  // namespace fernlift::standin
