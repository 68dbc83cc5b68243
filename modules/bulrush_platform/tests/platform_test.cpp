#include "bulrush_core/bulrush_core.h"
#include "bulrush_platform/bulrush_platform.h"

#include <criterion/criterion.h>

#include <deque>

using namespace bulrush;

namespace {

/** Answers reads from a prepared list; an empty entry simulates a failed read. */
struct FakeLog : Log
{
    void append(std::string_view /*stream*/, std::string /*body*/, AppendCallback callback) override
    {
        callback(std::nullopt);
    }

    void read(std::string_view /*stream*/, LogOffset from, Duration /*wait*/,
              ReadCallback callback) override
    {
        this->readOffsets.push_back(from);
        if (this->pages.empty()) {
            return;
        }
        const std::optional<LogPage> page = this->pages.front();
        this->pages.pop_front();
        callback(page);
    }

    std::deque<std::optional<LogPage>> pages;
    std::vector<LogOffset> readOffsets;
};

struct RecordingListener : LogReader::Listener
{
    LogOffset readOffset() const override { return this->next; }
    void pageRead(const LogPage &page, Instant /*sentAt*/) override { this->next = page.end; }
    void availabilityChanged(bool available) override { this->changes.push_back(available); }

    LogOffset next = 0;
    std::vector<bool> changes;
};

} // namespace

Test(LogReader, resumesAtListenerOffsetAfterOutage)
{
    EventLoop loop;
    FakeLog log;
    RecordingListener listener;
    log.pages = { LogPage { 0, 2, {} }, std::nullopt, LogPage { 0, 4, {} } };
    const SystemClock clock;
    LogReader reader(loop, clock, log, "records", seconds(1), listener);
    reader.start();
    while (log.readOffsets.size() < 4) {
        loop.runOnce();
    }
    cr_assert(log.readOffsets == std::vector<LogOffset>({ 0, 2, 2, 4 }));
    cr_assert(listener.changes == std::vector<bool>({ true, false, true }));
}
