#include "bulrush_core/bulrush_core.h"

#include <criterion/criterion.h>

#include <fstream>
#include <sstream>
#include <thread>

using namespace bulrush;

Test(Clock, changesOnlyWhenAdvanced)
{
    ManualClock clock;
    const Instant before = clock.now();
    cr_assert(clock.now() == before);
    clock.advance(milliseconds(5));
    cr_assert(clock.now() - before == milliseconds(5));
}

Test(Clock, calendarStepDoesNotChangeMonotonicTime)
{
    ManualClock clock;
    const Instant before = clock.now();
    const UnixSeconds calendarBefore = clock.calendarTime();
    clock.stepCalendar(seconds(-3600));
    cr_assert(clock.now() == before);
    cr_assert_eq(clock.calendarTime(), calendarBefore - 3600);
}

Test(Error, containsOperationAndPeer)
{
    const Error error("append", "127.0.0.1:9000", "connection closed");
    cr_assert_eq(error.operation(), "append");
    cr_assert_eq(error.peer(), "127.0.0.1:9000");
    cr_assert_str_eq(error.what(), "append [127.0.0.1:9000]: connection closed");
}

Test(Mailbox, keepsOrderAndRejectsMessagesBeyondCapacity)
{
    int wakes = 0;
    Mailbox<int> mailbox(2, [&wakes] { ++wakes; });
    cr_assert(mailbox.send(1));
    cr_assert(mailbox.send(2));
    cr_assert_not(mailbox.send(3));
    cr_assert_eq(wakes, 1);
    cr_assert(mailbox.takeAll() == std::vector<int>({ 1, 2 }));
    cr_assert(mailbox.takeAll().empty());
}

Test(Mailbox, losesNoMessagesBetweenThreads)
{
    constexpr int messagesPerSender = 10'000;
    Mailbox<int> mailbox(4 * messagesPerSender, [] {});
    std::vector<std::thread> senders;
    for (int sender = 0; sender < 4; ++sender) {
        senders.emplace_back([&mailbox] {
            for (int i = 0; i < messagesPerSender; ++i) {
                mailbox.send(1);
            }
        });
    }
    for (std::thread &sender : senders) {
        sender.join();
    }
    cr_assert_eq(mailbox.takeAll().size(), 4U * messagesPerSender);
}

Test(Events, catalogueAndPageListTheSameEvents)
{
    std::ifstream file(BULRUSH_SOURCE_DIR "/docs/EVENTS.md");
    cr_assert(file.good(), "docs/EVENTS.md is missing");
    std::stringstream page;
    page << file.rdbuf();
    const std::string text = page.str();
    std::size_t rows = 0;
    for (const EventInfo &info : eventCatalogue()) {
        const std::string row = "| E" + std::to_string(static_cast<unsigned>(info.event)) + " | "
                + std::string(info.name) + " |";
        cr_assert(text.find(row) != std::string::npos, "missing row: %s", row.c_str());
        ++rows;
    }
    std::size_t rowsInPage = 0;
    for (auto at = text.find("\n| E"); at != std::string::npos; at = text.find("\n| E", at + 1)) {
        ++rowsInPage;
    }
    cr_assert_eq(rowsInPage, rows, "the page lists events that the code does not have");
}

Test(Endpoint, parsesItsOwnText)
{
    const Endpoint endpoint { "10.0.0.1", 9100 };
    cr_assert(Endpoint::parse(endpoint.text()) == endpoint);
    for (const char *malformed :
         { "", "10.0.0.1", ":9100", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:91x" }) {
        cr_assert_not(Endpoint::parse(malformed).has_value(), "%s", malformed);
    }
}
