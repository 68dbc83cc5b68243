// Measures three ways to run a keyed request at most once: a claim on the log (the project's own
// code on a fake log), a keeper node for each key, and a ticket of the node that issued it (both as
// models).

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
constexpr int lengthMs = 60'000;
constexpr UnixSeconds epoch = 1'700'000'000;
constexpr milliseconds claimWait { 2'000 };

/** The pace of the daemon. */
constexpr AppendPace chosenPace { milliseconds(40), milliseconds(200) };

/** A log whose answers take a fixed time each way, or never come. */
struct FakeLog
{
    int answerMs = 0;
    bool isDown = false;
    std::vector<std::string> entries;
};

/** What an arrival saw. */
struct Tally
{
    std::vector<int> sendMs;
    std::vector<int> refuseMs;
    std::size_t appends = 0;
    std::size_t bytes = 0;
};

/** One node that claims keys on the log; it reads the log once each append was answered. */
class ClaimingNode
{
public:
    ClaimingNode(FakeLog &log, Tally &tally, AppendPace pace)
        : log(log)
        , tally(tally)
        , admission(KeyTimes {}, claimWait, pace)
    {
        this->admission.readEnded(0, 0, epoch);
    }

    void arrive(const std::string &arrival, int nowMs)
    {
        const UnixSeconds calendar = epoch + nowMs / 1'000;
        this->arrivedAt[arrival] = nowMs;
        this->admission.arrive(arrival, std::to_string(calendar) + "-" + arrival, true,
                               Instant(milliseconds(nowMs)), calendar);
    }

    void step(int nowMs)
    {
        const UnixSeconds calendar = epoch + nowMs / 1'000;
        this->admission.setLogAvailable(!this->log.isDown);
        this->endAppend(nowMs);
        this->endRead(nowMs, calendar);
        if (const auto append = this->admission.nextAppend(calendar)) {
            this->number = append->number;
            this->text = append->text;
            this->storedAt = nowMs + this->log.answerMs;
        }
        this->admission.tick(Instant(milliseconds(nowMs)), calendar);
        this->takeAnswers(nowMs);
    }

private:
    void endAppend(int nowMs)
    {
        if (this->storedAt && nowMs >= *this->storedAt) {
            this->log.entries.push_back(this->text);
            this->tally.bytes += this->text.size();
            ++this->tally.appends;
            this->admission.appendEnded(this->number, AppendResult::Stored);
            this->storedAt.reset();
            this->readAt = this->readAt.value_or(nowMs + this->log.answerMs);
        }
    }

    void endRead(int nowMs, UnixSeconds calendar)
    {
        if (!this->readAt || nowMs < *this->readAt) {
            return;
        }
        for (std::uint64_t i = this->admission.book().nextOffset(); i < this->log.entries.size();
             ++i) {
            this->admission.applied(i, this->log.entries[i], calendar);
        }
        this->admission.readEnded(0, this->log.entries.size(), calendar);
        this->readAt.reset();
    }

    void takeAnswers(int nowMs)
    {
        for (const KeyAnswer &answer : this->admission.takeAnswers()) {
            const int waited = nowMs - this->arrivedAt[answer.arrival];
            if (answer.kind == KeyAnswerKind::Send) {
                this->tally.sendMs.push_back(waited);
                this->admission.ended(answer.arrival, SendResult::Answered, 200);
            } else {
                this->tally.refuseMs.push_back(waited);
            }
        }
    }

    FakeLog &log;
    Tally &tally;
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
    FakeLog log { answerMs, isDown, {} };
    Tally tally;
    std::vector<std::unique_ptr<ClaimingNode>> nodes;
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<ClaimingNode>(log, tally, pace));
    }
    int arrivals = 0;
    for (int nowMs = 0; nowMs < lengthMs + 3'000; ++nowMs) {
        if (nowMs < lengthMs && random() % 1'000 < arrivalsPerSecond) {
            nodes[random() % nodeCount]->arrive("a" + std::to_string(arrivals++), nowMs);
        }
        for (const auto &node : nodes) {
            node->step(nowMs);
        }
    }
    const double seconds = lengthMs / 1'000.0;
    std::printf(
            "  log claim, %-12s admitted %6.2f %%, wait p50 %4d ms p99 %4d ms; refused after p99"
            " %d ms; %.1f appends/s, %.0f bytes a request\n",
            name, 100.0 * static_cast<double>(tally.sendMs.size()) / arrivals,
            percentile(tally.sendMs, 0.5), percentile(tally.sendMs, 0.99),
            percentile(tally.refuseMs, 0.99), static_cast<double>(tally.appends) / seconds,
            static_cast<double>(tally.bytes) / std::max(1, arrivals));
}

/** A model: the key's node may have been replaced since the key was issued. */
struct ModelWay
{
    const char *name;

    /** Time before the request can be sent, in ms. */
    double waitMs;

    /** How long after a replacement keys of that node are refused, in s. */
    double blindSeconds;

    /** How long after its issue a repeat comes, in s. */
    double repeatSeconds;
};

/** Prints the share of refused requests at 210 replacements a day over 45 nodes. */
void printModel(const ModelWay &way)
{
    constexpr double replacementsOfNodePerSecond = 210.0 / 45 / 86'400;
    const double firstRefused = 100 * replacementsOfNodePerSecond * way.blindSeconds;
    const double repeatUnknown = 100 * replacementsOfNodePerSecond * way.repeatSeconds;
    std::printf("  %-32s wait %4.1f ms, also while the log is down; first tries refused %.4f %%;"
                " repeats after %.0f s unknown %.3f %%\n",
                way.name, way.waitMs, firstRefused, way.repeatSeconds, repeatUnknown);
}

/** Prints the memory that the book needs for a number of keys. */
void printMemory(std::size_t count)
{
    std::vector<KeyOperation> operations;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string number = std::to_string(i);
        operations.push_back({ KeyVerb::Claim, std::to_string(epoch) + "-key-" + number,
                               "entry-1-boot-1-" + number, 0 });
    }
    const std::size_t before = mallinfo2().uordblks;
    KeyBook book({});
    std::size_t bytes = 0;
    for (std::size_t first = 0; first < count; first += KeyAdmission::maxBatch) {
        const auto last = std::min(count, first + KeyAdmission::maxBatch);
        const KeyEntry entry { epoch,
                               { operations.begin() + static_cast<std::ptrdiff_t>(first),
                                 operations.begin() + static_cast<std::ptrdiff_t>(last) } };
        const std::string text = entry.text();
        bytes += text.size();
        book.apply(book.nextOffset(), text, epoch);
    }
    const std::size_t memory = mallinfo2().uordblks - before;
    std::printf(
            "  %zu keys: %zu bytes of memory a key, %zu bytes on the log a claim in full batches\n",
            book.size(), memory / count, bytes / count);
}

} // namespace

} // namespace bulrush::bench

int main()
{
    using namespace bulrush;
    using namespace bulrush::bench;
    std::printf(
            "seed 4502, 9 nodes, 200 keyed requests a second together, 60 s of simulated time\n");
    for (const int gapMs : { 0, 40, 100 }) {
        for (const int lingerMs : { 0, 200 }) {
            const AppendPace pace { milliseconds(gapMs), milliseconds(lingerMs) };
            std::printf(" gap %d ms, linger %d ms\n", gapMs, lingerMs);
            runClaims("5 ms", 5, false, pace);
            runClaims("50 ms", 50, false, pace);
        }
    }
    std::printf(" chosen pace\n");
    runClaims("500 ms", 500, false, chosenPace);
    runClaims("down", 5, true, chosenPace);
    printModel({ "keeper in the data centre (model)", 1.0, 10, 600 });
    printModel({ "keeper elsewhere (model)", 3.0, 10, 600 });
    printModel({ "ticket, one more exchange (model)", 6.0, 1, 600 });
    printMemory(50'000);
    return 0;
}
