#include "sim/CatalogueText.h"

#include <array>
#include <sstream>

namespace fernlift::sim
{
namespace
{

constexpr std::int64_t kUrgentDeadline = 3000;
constexpr std::int64_t kStandardDeadline = 6000;
constexpr std::int64_t kAuditDeadline = 12000;
constexpr std::int64_t kApprovalDeadline = 3000;
constexpr int kModels = 10;
constexpr int kAdapters = 4;
constexpr std::array<int, 5> kModelMemory = { 16000, 24000, 32000, 40000, 60000 };

std::string classOf (int number)
{
    if (number % 3 == 0)
        return "urgent";
    return number % 3 == 1 ? "standard" : "audit";
}

std::int64_t deadlineOf (int number)
{
    if (number % 3 == 0)
        return kUrgentDeadline;
    return number % 3 == 1 ? kStandardDeadline : kAuditDeadline;
}

void writeClass (std::ostream& text, const std::string& name, int urgency, std::int64_t deadline,
                 const std::string& rest)
{
    text << "[[class]]\nname = \"" << name << "\"\nurgency = " << urgency
         << "\ndeadline_ms = " << deadline << "\n"
         << rest << "\n";
}

void writeHead (std::ostream& text, std::uint64_t version, std::uint64_t variant)
{
    text << "# variant " << variant << "\ncell = \"simulated\"\nversion = " << version
         << "\nzones = [\"z1\", \"z2\", \"z3\"]\nlargest_runner_memory_mb = 80000\n\n"
         << "[prices]\ncold_start_second = 1.0\nidle_accelerator_hour = 1.0\n\n"
         << "[weight_store]\nloads_per_second = 6.0\nconcurrent_loads = 6\n\n";
    writeClass (text, "urgent", 0, kUrgentDeadline, "reserved_slot_share = 0.25\n");
    writeClass (text, "standard", 4, kStandardDeadline, "");
    writeClass (text, "audit", 8, kAuditDeadline, "");
    writeClass (text, "approval", 1, kApprovalDeadline, "repeatable = false\n");
}

}  // namespace

const std::vector<SimulatedTarget>& simulatedTargets()
{
    static const std::vector<SimulatedTarget> targets = []
    {
        std::vector<SimulatedTarget> all;
        all.push_back ({ "portal", true, false, kApprovalDeadline });
        all.push_back ({ "lookup", true, true, kUrgentDeadline });
        for (int number = 0; number < kModels; ++number)
        {
            all.push_back (
                { "model-" + std::to_string (number), false, true, deadlineOf (number) });
        }
        for (int number = 0; number < kAdapters; ++number)
        {
            all.push_back (
                { "adapter-" + std::to_string (number), false, true, kStandardDeadline });
        }
        return all;
    }();
    return targets;
}

std::string catalogueText (std::uint64_t version, std::uint64_t variant, base::Random& random)
{
    std::ostringstream text;
    writeHead (text, version, variant);
    for (int number = 0; number < kModels; ++number)
    {
        text << "[[model]]\nname = \"model-" << number << "\"\nversion = \"1\"\nmemory_mb = "
             << kModelMemory.at (static_cast<std::size_t> (number) % kModelMemory.size())
             << "\nmax_replicas = " << random.uniformInteger (1, 3) << "\nclass = \""
             << classOf (number) << "\"\n\n";
    }
    for (int number = 0; number < kAdapters; ++number)
    {
        text << "[[adapter]]\nname = \"adapter-" << number << "\"\nbase = \"model-" << number
             << "\"\nmemory_mb = 400\nmax_replicas = " << random.uniformInteger (1, 2)
             << "\nclass = \"standard\"\n\n";
    }
    text << "[[application]]\nname = \"portal\"\nclass = \"approval\"\n\n"
         << "[[application]]\nname = \"lookup\"\nclass = \"urgent\"\n";
    return text.str();
}

}  // namespace fernlift::sim
