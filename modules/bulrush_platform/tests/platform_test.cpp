#include "bulrush_core/bulrush_core.h"
#include "bulrush_platform/bulrush_platform.h"

#include <criterion/criterion.h>

#include <deque>

using namespace bulrush;

namespace {

/** Answers reads from a prepared list; an empty entry is an outage. */
struct FakeLog : Log
{
    void append(std::string_view /*stream*/, std::string /*body*/, AppendCallback callback) override
    {
        callback(std::nullopt);
    }

    void read(std::string_view /*stream*/, Offset from, Duration /*wait*/,
              ReadCallback callback) override
    {
        this->asked.push_back(from);
        if (this->pages.empty()) {
            return;
        }
        const std::optional<LogPage> page = this->pages.front();
        this->pages.pop_front();
        callback(page);
    }

    std::deque<std::optional<LogPage>> pages;
    std::vector<Offset> asked;
};

struct RecordingListener : LogFollower::Listener
{
    void recordRead(std::string_view /*stream*/, const LogRecord &record) override
    {
        this->offsets.push_back(record.offset);
    }
    void caughtUp(std::string_view /*stream*/, Offset next) override { this->caughtUpAt = next; }
    void truncated(std::string_view /*stream*/, Offset first) override
    {
        this->truncatedAt = first;
    }
    void availabilityChanged(std::string_view /*stream*/, bool available) override
    {
        this->changes.push_back(available);
    }

    std::vector<Offset> offsets;
    Offset caughtUpAt = -1;
    Offset truncatedAt = -1;
    std::vector<bool> changes;
};

LogPage page(Offset first, Offset next, const std::vector<Offset> &offsets)
{
    LogPage result { first, next, {} };
    for (const Offset offset : offsets) {
        result.records.push_back({ offset, "body" });
    }
    return result;
}

} // namespace

Test(LogFollower, readsEachRecordOnceThroughAnOutage)
{
    EventLoop loop;
    FakeLog log;
    RecordingListener listener;
    log.pages = { page(0, 2, { 0, 1 }), std::nullopt, page(0, 4, { 1, 2, 3 }) };
    LogFollower follower(loop, log, "records", seconds(1), listener);
    follower.start();
    while (log.asked.size() < 4) {
        loop.runOnce();
    }
    cr_assert(listener.offsets == std::vector<Offset>({ 0, 1, 2, 3 }));
    cr_assert(listener.changes == std::vector<bool>({ true, false, true }));
    cr_assert_eq(listener.caughtUpAt, 4);
}

Test(LogFollower, tellsOfTruncationBeforeItGoesOn)
{
    EventLoop loop;
    FakeLog log;
    RecordingListener listener;
    log.pages = { page(10, 12, {}), page(10, 12, { 10, 11 }) };
    LogFollower follower(loop, log, "records", seconds(1), listener);
    follower.start();
    while (log.asked.size() < 3) {
        loop.runOnce();
    }
    cr_assert_eq(listener.truncatedAt, 10);
    cr_assert(listener.offsets == std::vector<Offset>({ 10, 11 }));
}
