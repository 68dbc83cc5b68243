// Compares three methods to run a keyed request at most once: a claim on the log (bulrush_keys on a
// simulated log), an owner node per key, and a ticket of the node that issued the key (the last two
// as analytical models).

#include "bulrush_keys/bulrush_keys.h"

#include <algorithm>
#include <cstdio>
#include <malloc.h>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bulrush::bench {

namespace {

constexpr std::uint32_t seed = 4502;
constexpr int nodeCount = 9;
constexpr int arrivalsPerSecond = 200;
constexpr int durationMs = 60'000;
constexpr UnixSeconds epoch = 1'700'000'000;
constexpr milliseconds claimWait { 2'000 };

/** The append pace that the daemon uses. */
constexpr AppendPace daemonPace { milliseconds(40), milliseconds(200) };

/** A log that answers appends and reads after a fixed time each, or is unavailable. */
struct SimulatedLog
{
    int answerMs = 0;
    bool isDown = false;
    std::vector<std::string> entries;
};

/** Results of all arrivals. */
struct Results
{
    std::vector<int> admittedMs; ///< waiting times of admitted requests
    std::vector<int> refusedMs; ///< waiting times of refused requests
    std::size_t appends = 0;
    std::size_t bytes = 0;
};

/** One node that claims keys on the log. It reads the log after each answered append. */
class ClaimingNode
{
public:
    ClaimingNode(SimulatedLog &log, Results &results, AppendPace pace)
        : log(log)
        , results(results)
        , admission(KeyValidity {}, claimWait, pace)
    {
        this->admission.setLogRange(0, 0, epoch);
    }

    void addArrival(const std::string &arrival, int nowMs)
    {
        const UnixSeconds unixNow = epoch + nowMs / 1'000;
        this->arrivedAt[arrival] = nowMs;
        this->admission.addArrival(arrival, std::to_string(unixNow) + "-" + arrival, true,
                                   Instant(milliseconds(nowMs)), unixNow);
    }

    void step(int nowMs)
    {
        const UnixSeconds unixNow = epoch + nowMs / 1'000;
        this->admission.setLogAvailable(!this->log.isDown);
        this->endAppend(nowMs);
        this->endRead(nowMs, unixNow);
        if (const auto append = this->admission.nextAppend(unixNow)) {
            this->number = append->number;
            this->text = append->text;
            this->storedAt = nowMs + this->log.answerMs;
        }
        this->admission.tick(Instant(milliseconds(nowMs)), unixNow);
        this->handleAnswers(nowMs);
    }

private:
    void endAppend(int nowMs)
    {
        if (this->storedAt && nowMs >= *this->storedAt) {
            this->log.entries.push_back(this->text);
            this->results.bytes += this->text.size();
            ++this->results.appends;
            this->admission.appendEnded(this->number, AppendResult::Stored);
            this->storedAt.reset();
            this->readAt = this->readAt.value_or(nowMs + this->log.answerMs);
        }
    }

    void endRead(int nowMs, UnixSeconds unixNow)
    {
        if (!this->readAt || nowMs < *this->readAt) {
            return;
        }
        for (std::uint64_t i = this->admission.table().nextOffset(); i < this->log.entries.size();
             ++i) {
            this->admission.applyEntry(i, this->log.entries[i], unixNow);
        }
        this->admission.setLogRange(0, this->log.entries.size(), unixNow);
        this->readAt.reset();
    }

    void handleAnswers(int nowMs)
    {
        for (const KeyAnswer &answer : this->admission.takeAnswers()) {
            const int waited = nowMs - this->arrivedAt[answer.arrival];
            if (answer.kind == KeyAnswerKind::Send) {
                this->results.admittedMs.push_back(waited);
                this->admission.requestEnded(answer.arrival, SendResult::Answered, 200);
            } else {
                this->results.refusedMs.push_back(waited);
            }
        }
    }

    SimulatedLog &log;
    Results &results;
    KeyAdmission admission;
    std::map<std::string, int> arrivedAt;
    std::uint64_t number = 0;
    std::string text;
    std::optional<int> storedAt;
    std::optional<int> readAt;
};

int percentile(std::vector<int> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void runClaims(const char *name, int answerMs, bool isDown, AppendPace pace)
{
    std::mt19937 random(seed);
    SimulatedLog log { answerMs, isDown, {} };
    Results results;
    std::vector<std::unique_ptr<ClaimingNode>> nodes;
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<ClaimingNode>(log, results, pace));
    }
    int arrivals = 0;
    for (int nowMs = 0; nowMs < durationMs + 3'000; ++nowMs) {
        if (nowMs < durationMs && random() % 1'000 < arrivalsPerSecond) {
            nodes[random() % nodeCount]->addArrival("a" + std::to_string(arrivals++), nowMs);
        }
        for (const auto &node : nodes) {
            node->step(nowMs);
        }
    }
    const double seconds = durationMs / 1'000.0;
    std::printf(
            "  log claim, %-12s admitted %6.2f %%, wait p50 %4d ms p99 %4d ms; refused after p99"
            " %d ms; %.1f appends/s, %.0f bytes per request\n",
            name, 100.0 * static_cast<double>(results.admittedMs.size()) / arrivals,
            percentile(results.admittedMs, 0.5), percentile(results.admittedMs, 0.99),
            percentile(results.refusedMs, 0.99), static_cast<double>(results.appends) / seconds,
            static_cast<double>(results.bytes) / std::max(1, arrivals));
}

/** Analytical model of a method: a key's node may be replaced after the key was issued. */
struct ModelledMethod
{
    const char *name;

    /** Time before the request can be sent, in ms. */
    double waitMs;

    /** Time after a replacement during which keys of that node are refused, in s. */
    double refusalSeconds;

    /** Time from the issue of a key to a repeated request, in s. */
    double repeatSeconds;
};

/** Prints the shares of refused first requests and of repeats with unknown keys, at 210
    replacements per day over 45 nodes. */
void printModel(const ModelledMethod &method)
{
    constexpr double replacementsOfNodePerSecond = 210.0 / 45 / 86'400;
    const double firstRefused = 100 * replacementsOfNodePerSecond * method.refusalSeconds;
    const double repeatUnknown = 100 * replacementsOfNodePerSecond * method.repeatSeconds;
    std::printf("  %-32s wait %4.1f ms, also while the log is down; first requests refused %.4f %%;"
                " repeats after %.0f s unknown %.3f %%\n",
                method.name, method.waitMs, firstRefused, method.repeatSeconds, repeatUnknown);
}

/** Prints the memory that the key table needs for a number of keys. */
void printMemory(std::size_t count)
{
    std::vector<KeyOperation> operations;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string number = std::to_string(i);
        operations.push_back({ KeyVerb::Claim, std::to_string(epoch) + "-key-" + number,
                               "entry-1-boot-1-" + number, 0 });
    }
    const std::size_t before = mallinfo2().uordblks;
    KeyTable table({});
    std::size_t bytes = 0;
    for (std::size_t first = 0; first < count; first += KeyAdmission::maxBatch) {
        const auto last = std::min(count, first + KeyAdmission::maxBatch);
        const KeyEntry entry { epoch,
                               { operations.begin() + static_cast<std::ptrdiff_t>(first),
                                 operations.begin() + static_cast<std::ptrdiff_t>(last) } };
        const std::string text = entry.text();
        bytes += text.size();
        table.apply(table.nextOffset(), text, epoch);
    }
    const std::size_t memory = mallinfo2().uordblks - before;
    std::printf("  %zu keys: %zu bytes of memory per key, %zu bytes on the log per claim in full "
                "batches\n",
                table.size(), memory / count, bytes / count);
}

} // namespace

} // namespace bulrush::bench

int main()
{
    using namespace bulrush;
    using namespace bulrush::bench;
    std::printf(
            "seed 4502, 9 nodes, 200 keyed requests per second in total, 60 s of simulated time\n");
    for (const int gapMs : { 0, 40, 100 }) {
        for (const int lingerMs : { 0, 200 }) {
            const AppendPace pace { milliseconds(gapMs), milliseconds(lingerMs) };
            std::printf(" gap %d ms, linger %d ms\n", gapMs, lingerMs);
            runClaims("5 ms", 5, false, pace);
            runClaims("50 ms", 50, false, pace);
        }
    }
    std::printf(" append pace of the daemon\n");
    runClaims("500 ms", 500, false, daemonPace);
    runClaims("down", 5, true, daemonPace);
    printModel({ "owner in the data centre (model)", 1.0, 10, 600 });
    printModel({ "owner elsewhere (model)", 3.0, 10, 600 });
    printModel({ "ticket, one more exchange (model)", 6.0, 1, 600 });
    printMemory(50'000);
    return 0;
}
