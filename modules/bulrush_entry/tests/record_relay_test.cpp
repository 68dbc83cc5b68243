#include "bulrush_core/time/ManualClock.h"
#include "bulrush_entry/owner/RecordRelay.h"
#include "bulrush_entry/owner/RelayedRecords.h"

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace bulrush;

namespace {

const Endpoint ownerEndpoint { "10.0.0.2", 7000 };
constexpr FrameLinks::LinkId nodeLink = 1;

/** Keeps what is sent, so that the test can deliver it to the other side or lose it. */
class HeldLinks : public FrameLinks
{
public:
    LinkId connect(const Endpoint & /*endpoint*/) override { return nodeLink; }
    bool send(LinkId /*link*/, std::span<const std::uint8_t> frame) override
    {
        this->sent.emplace_back(frame.begin(), frame.end());
        return this->up;
    }
    void close(LinkId /*link*/) override { }

    bool up = true;
    std::vector<std::vector<std::uint8_t>> sent;
};

/** A node that hands one record over, and the owner. */
class RelayFixture
{
public:
    RelayFixture()
        : relay(clock, nodeLinks)
        , owner(clock, ownerLinks)
    {
        this->relay.linkOpened(nodeLink, ownerEndpoint);
        this->owner.appendWith([this](const HandedRecord &record, RecordCarrier::Callback reply) {
            this->taken.push_back(record);
            this->appendEnded = std::move(reply);
        });
    }

    void handOver(const char *key = "job/1")
    {
        HandedRecord record;
        record.record = { key, "value", 0 };
        record.timeLeft = seconds(2);
        this->relay.handOver(record, [this](const HandedResult &told) { this->result = told; });
    }

    void deliverToOwner(bool isOwner = true)
    {
        for (const auto &frame : std::exchange(this->nodeLinks.sent, {})) {
            const auto *record = wire::readOwnerFrame(frame, "node").message_as_RelayedRecord();
            this->owner.arrived(nodeLink, *record, isOwner);
        }
    }

    void deliverToNode()
    {
        for (const auto &frame : std::exchange(this->ownerLinks.sent, {})) {
            this->relay.answered(*wire::readOwnerFrame(frame, "owner").message_as_RelayAnswer());
        }
    }

    void pass(milliseconds span)
    {
        this->clock.advance(span);
        this->relay.tick();
    }

    ManualClock clock;
    HeldLinks nodeLinks;
    HeldLinks ownerLinks;
    std::vector<HandedRecord> taken;
    RecordCarrier::Callback appendEnded;
    std::optional<HandedResult> result;
    RecordRelay relay;
    RelayedRecords owner;
};

} // namespace

Test(RecordRelay, tellsWhatBecameOfARecord)
{
    for (const AppendResult ended :
         { AppendResult::Recorded, AppendResult::NotDone, AppendResult::NotInTime,
           AppendResult::Rejected, AppendResult::Unknown }) {
        RelayFixture fixture;
        fixture.handOver();
        fixture.deliverToOwner();
        cr_assert_eq(fixture.taken.at(0).record.value, "value");
        cr_assert_lt(fixture.taken.at(0).timeLeft, seconds(2));
        fixture.appendEnded({ ended, 7, milliseconds(1500), false });
        fixture.deliverToNode();
        cr_assert(fixture.result->result == ended);
        cr_assert_eq(fixture.result->offset, 7U);
        cr_assert(fixture.result->retryAfter == milliseconds(1500));
    }
}

/* The owner fails before or after its append: the record may be in the log in both cases, so its
   caller must not be told that it is not. */
Test(RecordRelay, aRecordWhoseLinkIsLostMayHaveTakenEffect)
{
    for (const bool arrives : { false, true }) {
        RelayFixture fixture;
        fixture.handOver();
        if (arrives) {
            fixture.deliverToOwner();
            fixture.deliverToNode();
        }
        fixture.relay.linkLost();
        cr_expect_not(fixture.relay.takesRecords());
        fixture.pass(milliseconds(1));
        cr_assert(fixture.result->result == AppendResult::Unknown);
        cr_expect_not(fixture.result->unacknowledged);
    }
}

/* A slow owner is not one of an earlier version. Its answer after the time limit changes nothing.
 */
Test(RecordRelay, anOwnerThatAnswersLateIsWaitedForUntilTheLimit)
{
    RelayFixture fixture;
    fixture.handOver();
    fixture.deliverToOwner();
    fixture.deliverToNode();
    fixture.pass(milliseconds(1900));
    cr_assert_not(fixture.result.has_value());
    cr_assert(fixture.relay.takesRecords());
    fixture.pass(milliseconds(200));
    cr_assert(fixture.result->result == AppendResult::Unknown);
    fixture.appendEnded({ AppendResult::NotInTime, 0, {}, false });
    fixture.deliverToNode();
    cr_assert(fixture.result->result == AppendResult::Unknown);
}

/* An owner of an earlier version does not answer records. */
Test(RecordRelay, nothingIsHandedOverForAWhileToAProcessThatAcknowledgesNothing)
{
    RelayFixture fixture;
    fixture.handOver();
    fixture.pass(milliseconds(500));
    cr_assert(fixture.result->result == AppendResult::Unknown);
    cr_assert(fixture.result->unacknowledged);
    cr_assert_not(fixture.relay.takesRecords());
    fixture.pass(milliseconds(4900));
    cr_assert_not(fixture.relay.takesRecords());
    fixture.pass(milliseconds(200));
    cr_assert(fixture.relay.takesRecords());
}

Test(RecordRelay, aNodeThatIsNoOwnerAppendsNothing)
{
    RelayFixture fixture;
    fixture.handOver();
    fixture.deliverToOwner(false);
    fixture.deliverToNode();
    cr_assert(fixture.taken.empty());
    cr_assert(fixture.result->result == AppendResult::NotDone);
}

Test(RecordRelay, aFrameThatWasNotSentHadNoEffect)
{
    RelayFixture fixture;
    fixture.nodeLinks.up = false;
    fixture.handOver();
    fixture.pass(milliseconds(1));
    cr_assert(fixture.result->result == AppendResult::NotDone);
}

/* A malformed or hostile frame must not write a record of ownership. */
Test(RelayedRecords, onlyRecordsOfCallersAreTaken)
{
    RelayFixture fixture;
    fixture.handOver("owner");
    fixture.deliverToOwner();
    fixture.deliverToNode();
    cr_assert(fixture.taken.empty());
    cr_assert(fixture.result->result == AppendResult::Rejected);
}

/* The link of a node that died: its record is appended all the same, and nobody is answered. */
Test(RelayedRecords, theSenderIsGoneWhenItsRecordIsAppended)
{
    RelayFixture fixture;
    fixture.handOver();
    fixture.deliverToOwner();
    fixture.owner.linkClosed(nodeLink);
    fixture.ownerLinks.sent.clear();
    fixture.appendEnded({ AppendResult::Recorded, 0, {}, false });
    cr_assert(fixture.ownerLinks.sent.empty());
}
