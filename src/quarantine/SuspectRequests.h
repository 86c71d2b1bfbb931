#pragma once

/**
 * One router's view of the requests and parts of prompts that runners crashed on: its copy of the
 * cell's table, and the crashes that it observed itself and that the table does not contain yet.
 *
 * An interrupted answer does not prove a crash: the connection may have been reset. It counts once
 * a probe finds the runner gone, or once the runner is replaced at its address soon after. An
 * answer that never came counts only if the runner is replaced without a sign of life since.
 * Confirmed crashes are reported to the controllers until their table contains them. See
 * docs/design/quarantine.md.
 */

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/Time.h"
#include "cell/QuarantineMessages.h"
#include "cell/QuarantineTable.h"
#include "quarantine/RunnerProbeResult.h"

namespace fernlift::quarantine
{

/** Suspect status of one request. */
struct SuspectStatus
{
    std::uint32_t crashes = 0;  ///< Consecutive crashes of runners that ran the request.
    /** Time of the latest interrupted answer whose cause is not confirmed yet, or not reported to
       the other routers yet. Callers wait briefly before they send the request or a copy of it.
    */
    std::optional<base::TimePoint> undecidedSince;
    /** When the isolation runner, to which all copies of the request go, was found gone while one
        more crash would quarantine the request. Another router may have observed that crash.
    */
    std::optional<base::TimePoint> isolationRunnerGoneSince;
    std::vector<std::string> instances;  ///< Instances that crashed while they ran the request.

    [[nodiscard]] bool isUndecided() const { return undecidedSince.has_value(); }
    [[nodiscard]] bool isSuspect() const { return crashes > 0; }
    [[nodiscard]] bool isInQuarantine() const { return crashes >= cell::kCrashesBeforeQuarantine; }
};

/** Status of the parts of a prompt that a request shares with others. */
struct PromptPartStatus
{
    std::string digest;         ///< Part in quarantine; empty: none.
    std::uint32_t crashes = 0;  ///< Its consecutive crashes.
    /** Time of the last change of that part. Callers wait briefly for the reports of other routers,
        which may show that the part is harmless.
    */
    base::TimePoint changedAt{};

    [[nodiscard]] bool isInQuarantine() const { return ! digest.empty(); }
};

/** Pure: time is passed in. Not thread-safe; owned by one ProxyProcess. */
class SuspectRequests
{
public:
    /** Bound of the parts whose last answer is remembered. */
    static constexpr std::size_t kMaxAnsweredParts = 4096;
    /** Bound of the unresolved interruptions; beyond it the oldest ones are evicted. */
    static constexpr std::size_t kMaxOwnCrashes = 1024;
    /** Bound of the missing answers among them. Many requests may reach their deadlines at once. */
    static constexpr std::size_t kMaxMissingAnswers = 256;
    /** Bound of the replaced runners that are remembered. */
    static constexpr std::size_t kMaxReplacedRunners = 1024;

    /** True in the usual case that there are no suspects: requests then need no identity. */
    [[nodiscard]] bool isEmpty() const { return m_fingerprints.empty(); }
    /** Whether a request with this fingerprint may be recorded. False positives are possible. */
    [[nodiscard]] bool mayContain (std::uint64_t fingerprint) const
    {
        return m_fingerprints.contains (fingerprint);
    }
    [[nodiscard]] SuspectStatus suspectStatusOf (const cell::RequestIdentity& request) const;
    /** Status of a request with these parts of a prompt. A part with enough crashes counts only if
        some of them had no other cause: of a sound part that is in most requests, all crashes are
        those of the part that caused them, which is not in this request.
    */
    [[nodiscard]] PromptPartStatus statusOfParts (
        std::span<const cell::RequestIdentity> parts) const;

    /** The answer of a runner was interrupted. */
    void onAnswerInterrupted (const cell::RequestIdentity& request, const std::string& instance,
                              base::TimePoint sentAt, base::TimePoint now);
    /** Last signs of life of the runner under an attempt that was given up. */
    struct MissingAnswer
    {
        std::string instance;
        base::TimePoint sentAt{};
        base::TimePoint heardAt{};  ///< Last bytes of the runner; `sentAt` if they came before.
    };

    /** An attempt was given up before the whole answer, for example at the deadline of the
        request. A runner whose machine has failed sends nothing and closes no connection.
    */
    void onAnswerMissing (const cell::RequestIdentity& request, const MissingAnswer& missing,
                          base::TimePoint now);
    /** Whether onBytes() has to be called for bytes of any runner. */
    [[nodiscard]] bool hasMissingAnswers() const { return m_missingAnswers > 0; }
    /** The runner sent bytes, so that no request given up before has crashed it. */
    void onBytes (const std::string& instance);
    /** Applies the result of probing a runner after an interrupted answer. Returns whether the
        result confirmed a crash.
    */
    bool onProbeResult (const std::string& instance, RunnerProbeResult probeResult);
    /** The runner is no longer registered and had not announced that it would leave. */
    void onReplaced (const std::string& instance, base::TimePoint now);
    /** The isolation runner, to which all copies of the request go, cannot be reached. */
    void onIsolationRunnerUnreachable (const cell::RequestIdentity& request, std::string instance,
                                       base::TimePoint now);
    /** Records crashes that other routers reported and that the log has not committed yet. */
    void onForwardedReport (const cell::SuspectReport& report, base::TimePoint now);
    /** A runner has answered the request completely, which clears it. */
    void onCompleteAnswer (const cell::RequestIdentity& request);
    /** Remembers for a while that a runner has completely answered a request with this part of a
        prompt, which may be suspect at other routers.
    */
    void onPartAnswered (std::uint64_t fingerprint, base::TimePoint now);

    /** Applies an update of the table, unless it is older than the version held. */
    void apply (const cell::SuspectUpdate& update, base::TimePoint now);
    /** Returns the report that is due for the controllers, or nothing. */
    [[nodiscard]] std::optional<cell::SuspectReport> takeReport (base::TimePoint now);
    /** Reports that were sent may be lost: all are due again. */
    void onLinkLost();
    /** Drops entries that are too old to be confirmed or reported. */
    void expire (base::TimePoint now);

    /** Version of the cell's table that this copy corresponds to. */
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] std::size_t size() const { return m_rows.size(); }
    [[nodiscard]] std::uint64_t evicted() const { return m_evicted; }

private:
    enum class Proof : std::uint8_t
    {
        kProbing,  ///< A probe of the runner is under way.
        /** The probe did not reach the runner, which may still turn out to have been replaced. */
        kUnconfirmed,
        /** No answer came. Whether its runner accepts connections says nothing, as another
            incarnation may do so at the same address.
        */
        kMissingAnswer,
        kConfirmed,
    };
    struct OwnCrash
    {
        cell::RequestIdentity request;
        std::string instance;
        base::TimePoint sentAt{};
        base::TimePoint crashedAt{};   ///< With a missing answer, when its runner could be avoided.
        base::TimePoint recordedAt{};  ///< Lifetimes begin here.
        Proof proof = Proof::kProbing;
        base::TimePoint reportedAt{};  ///< Last report to the controllers; zero before the first.
        /** True if another router observed the crash; that router reports it. */
        bool isFromOtherRouter = false;
    };
    struct Row
    {
        cell::SuspectRow reported;
        base::TimePoint receivedAt{};  ///< Time of the last change of the row.
    };
    struct Clearance
    {
        base::TimePoint since{};
        base::TimePoint reportedAt{};
    };

    struct GoneIsolationRunner
    {
        std::string instance;
        base::TimePoint since{};
    };

    /** Time of the last change that is known of the request or part. */
    [[nodiscard]] base::TimePoint changedAt (const std::string& digest) const;
    /** Instances that crashed under requests or parts that have enough crashes for quarantine,
       except `parts`.
    */
    [[nodiscard]] std::set<std::string> crashesOfOthers (
        std::span<const cell::RequestIdentity> parts) const;
    /** Records the begin of a part at the instance if it is earlier than the one known. Returns
        whether the crash is known.
    */
    bool mergeCrash (const cell::RequestIdentity& request, const std::string& instance,
                     base::TimePoint sentAt);
    void keepOnly (const std::vector<cell::SuspectRow>& rows);
    void put (const cell::SuspectRow& row, base::TimePoint now);
    void remove (const std::string& digest);
    /** Removes the oldest missing answer if there are too many. */
    void evictOldestMissingAnswer();
    [[nodiscard]] bool wasAnsweredLately (const cell::RequestIdentity& part,
                                          base::TimePoint now) const;
    void evictOldest();
    [[nodiscard]] static base::Duration lifetimeOf (const OwnCrash& crash);
    void dropResolved();
    void rebuildIndex();

    std::uint64_t m_version = 0;
    std::unordered_map<std::string, Row> m_rows;  ///< By digest.
    std::vector<OwnCrash> m_ownCrashes;           ///< Oldest first.
    std::map<std::string, Clearance> m_clearances;
    std::map<std::string, GoneIsolationRunner> m_goneIsolationRunners;  ///< By digest.
    std::unordered_set<std::uint64_t> m_fingerprints;  ///< Fingerprints in m_rows and m_ownCrashes.
    std::uint64_t m_evicted = 0;
    std::size_t m_missingAnswers = 0;  ///< Those of m_ownCrashes with this proof.
    /** Runners replaced lately without having announced that they would leave. */
    std::map<std::string, base::TimePoint> m_replacedRunners;
    /** Time of the last whole answer to requests with a part, by fingerprint of the part. */
    std::unordered_map<std::uint64_t, base::TimePoint> m_answeredParts;
};

}  // namespace fernlift::quarantine
