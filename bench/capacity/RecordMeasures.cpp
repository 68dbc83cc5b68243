#include "RecordMeasures.h"

#include "LogPages.h"
#include "Meters.h"

#include "bulrush_config/bulrush_config.h"
#include "bulrush_core/errors/Error.h"

#include <array>
#include <memory>

namespace bulrush::bench {

namespace {

constexpr std::array<std::size_t, 3> recordCounts { 300, 1'200, 4'800 };
constexpr int runs = 3;

Record jobRecord(std::size_t number)
{
    const std::string text = std::to_string(100'000 + number);
    return { "job/1",
             "job",
             "nightly-reassessment-" + text,
             "publish-20261203-" + text,
             "",
             "operator-17",
             R"({"team":"team-17","tasks":128,"batchClass":"portfolio-reassessment",)"
             R"("cpuMilli":1500,"memoryMb":6000,"accelerators":0,"runMs":218000})" };
}

std::vector<std::string> jobTexts(std::size_t count)
{
    std::vector<std::string> texts;
    for (std::size_t number = 0; number < count; ++number) {
        texts.push_back(jobRecord(number).text());
    }
    return texts;
}

RecordState fold(const std::vector<std::string> &texts)
{
    RecordState state;
    for (const std::string &text : texts) {
        if (state.apply(state.nextOffset(), text).outcome != RecordOutcome::Accepted) {
            throw Error("fold records", "", "a record was not accepted");
        }
    }
    return state;
}

/** Returns records of jobs that were published and have ended, as most jobs of a day have. */
std::vector<std::string> finishedJobTexts(std::size_t count)
{
    std::vector<std::string> texts;
    for (std::size_t number = 0; number < count; ++number) {
        const Record job = jobRecord(number);
        texts.push_back(job.text());
        texts.push_back(
                jobDoneRecord(job, "done-" + job.id, NodeId("entry-1"), JobOutcome::Finished)
                        .text());
    }
    return texts;
}

double bytesOf(const std::vector<std::string> &texts)
{
    std::size_t bytes = 0;
    for (const std::string &text : texts) {
        bytes += text.size();
    }
    return static_cast<double>(bytes);
}

double snapshotBytes(const RecordState &state)
{
    return bytesOf(snapshotParts(state));
}

} // namespace

std::vector<Series> measureRecords()
{
    SeriesSet set("configuration");
    for (const std::size_t count : recordCounts) {
        const auto size = static_cast<double>(count);
        const std::vector<std::string> texts = jobTexts(count);
        const std::string sizeName = "records in force";
        set.add("records", "B", sizeName, { size, bytesOf(texts) });
        set.add("records as read", "B", sizeName,
                { size, static_cast<double>(bytesInPages(texts)) });
        set.add("records folded", "us", sizeName, { size, minMicros(runs, [&] { fold(texts); }) });
        const std::size_t before = heapBytes();
        const auto state = std::make_unique<RecordState>(fold(texts));
        set.add("heap", "B", sizeName, { size, static_cast<double>(heapBytes() - before) });
        set.add("snapshot", "B", sizeName, { size, snapshotBytes(*state) });
        set.add("snapshot written", "us", sizeName,
                { size, minMicros(runs, [&state] { snapshotParts(*state); }) });
        const std::string text = state->exportText();
        set.add("state taken from a peer", "us", sizeName,
                { size, minMicros(runs, [&text] { RecordState::importText(text); }) });
        set.add("state from a peer", "B", sizeName, { size, static_cast<double>(text.size()) });
        const std::vector<std::string> finished = finishedJobTexts(count);
        const std::string finishedSizeName = "jobs published and ended";
        set.add("job and its end", "B", finishedSizeName, { size, bytesOf(finished) });
        set.add("job and its end as read", "B", finishedSizeName,
                { size, static_cast<double>(bytesInPages(finished)) });
        set.add("job and its end folded", "us", finishedSizeName,
                { size, minMicros(runs, [&] { fold(finished); }) });
        const std::size_t beforeEnded = heapBytes();
        const auto ended = std::make_unique<RecordState>(fold(finished));
        set.add("heap of ended jobs", "B", finishedSizeName,
                { size, static_cast<double>(heapBytes() - beforeEnded) });
    }
    return set.take();
}

} // namespace bulrush::bench
