#include "bulrush_core/time/ManualClock.h"
#include "bulrush_entry/owner/FormerOwnerInquiry.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace bulrush;

namespace {

const MemberName ownName { { "10.0.0.1", 7000 }, 30, "n1" };
const OwnerRecord former { 4, "10.0.0.2:7000#17@n2" };

/** Records what is sent; the test plays the peer. */
class FakeLinks : public FrameLinks
{
public:
    LinkId connect(const Endpoint &endpoint) override
    {
        this->connected.push_back(endpoint.text());
        return ++this->newest;
    }
    bool send(LinkId /*link*/, std::span<const std::uint8_t> frame) override
    {
        this->sent.emplace_back(frame.begin(), frame.end());
        return true;
    }
    void close(LinkId /*link*/) override { ++this->closed; }

    LinkId newest = 0;
    std::vector<std::string> connected;
    std::vector<std::vector<std::uint8_t>> sent;
    int closed = 0;
};

class InquiryFixture : public FormerOwnerInquiry::Listener
{
public:
    InquiryFixture()
        : inquiry(clock, links, ownName, *this)
    {
    }

    void formerOwnerStopped(std::uint64_t fencingToken) override
    {
        this->ended.push_back(fencingToken);
    }

    void update(const std::vector<OwnerRecord> &owners = { former })
    {
        this->inquiry.update(owners, 9);
    }

    void answer(std::uint64_t fencingToken, bool hasEnded)
    {
        wire::OwnerAnswerT reply;
        reply.number = fencingToken;
        reply.ended = hasEnded;
        const std::vector<std::uint8_t> frame = wire::encodeOwnerFrame(reply);
        this->inquiry.answered(this->links.newest,
                               *wire::readOwnerFrame(frame, "peer").message_as_OwnerAnswer());
    }

    ManualClock clock;
    FakeLinks links;
    std::vector<std::uint64_t> ended;
    FormerOwnerInquiry inquiry;
};

} // namespace

Test(FormerOwnerInquiry, asksTheProcessOfAFormerOwnerAndReportsItsAnswer)
{
    InquiryFixture fixture;
    fixture.update();
    cr_assert_eq(fixture.links.connected, std::vector<std::string> { "10.0.0.2:7000" });
    fixture.inquiry.linkOpened(fixture.links.newest);
    const auto &frame = wire::readOwnerFrame(fixture.links.sent.at(0), "peer");
    const wire::OwnerQuestion &question = *frame.message_as_OwnerQuestion();
    cr_assert(question.kind() == wire::OwnerQuestionKind::FormerOwner);
    cr_assert_eq(question.text()->str(), former.member);
    cr_assert_eq(question.asked_token(), former.fencingToken);
    cr_assert_eq(question.asker_token(), 9U);
    fixture.answer(former.fencingToken, true);
    cr_assert_eq(fixture.ended, std::vector<std::uint64_t> { former.fencingToken });
}

/* A cut may refuse connections to a process that runs on, and a paused process accepts them. */
Test(FormerOwnerInquiry, nothingButAnAnswerCountsAsAnEnd)
{
    InquiryFixture fixture;
    fixture.update();
    fixture.inquiry.linkClosed(fixture.links.newest);
    fixture.clock.advance(seconds(1));
    fixture.update();
    fixture.inquiry.linkOpened(fixture.links.newest);
    fixture.clock.advance(seconds(1));
    fixture.update();
    fixture.clock.advance(seconds(1));
    fixture.update();
    fixture.answer(former.fencingToken, false);
    fixture.answer(former.fencingToken + 1, true);
    cr_assert(fixture.ended.empty());
    cr_assert_eq(fixture.links.connected.size(), 3U);
}

Test(FormerOwnerInquiry, anOwnerThatIsNotWaitedForIsNotAsked)
{
    InquiryFixture fixture;
    fixture.update();
    fixture.update({});
    cr_assert_eq(fixture.links.closed, 1);
    cr_assert_not(fixture.inquiry.owns(fixture.links.newest));
}

Test(FormerOwnerInquiry, earlierOwnershipsOfThisNodeHaveEnded)
{
    InquiryFixture fixture;
    fixture.update({ { 5, "10.0.0.1:7000#3@n1" }, { 6, ownName.text() } });
    cr_assert(fixture.links.connected.empty());
    cr_assert_eq(fixture.ended, (std::vector<std::uint64_t> { 5, 6 }));
}

Test(FormerOwnerInquiry, anAnswerWithoutAQuestionCountsForNothing)
{
    InquiryFixture fixture;
    fixture.answer(0, true);
    cr_assert(fixture.ended.empty());
}

/* Another machine was given the address of one that is cut off and runs on. */
Test(MemberName, onlyAnotherProcessOfTheSameNodeAtTheSameAddressProvesAnEnd)
{
    const MemberName earlier = MemberName::parse("10.0.0.1:7000#3@n1").value();
    cr_assert(ownName.provesEndOf(earlier));
    cr_assert_not(ownName.provesEndOf(ownName));
    cr_assert_not(ownName.provesEndOf(MemberName::parse("10.0.0.1:7000#3@n9").value()));
    cr_assert_not(ownName.provesEndOf(MemberName::parse("10.0.0.1:7001#3@n1").value()));
    cr_assert_not(ownName.provesEndOf(MemberName::parse("10.0.0.1:7000#3").value()));
    cr_assert_eq(MemberName::parse(ownName.text())->text(), ownName.text());
    for (const char *wrong : { "", "10.0.0.1:7000", "10.0.0.1#3@n1", "10.0.0.1:7000#x@n1" }) {
        cr_assert_not(MemberName::parse(wrong).has_value(), "%s", wrong);
    }
}

/* A new version puts the processor time into the name; a node of an earlier one has none, and must
   still be known by its node and address. */
Test(MemberName, aNameWithAndWithoutTheProcessorTimeIsUnderstood)
{
    const MemberName sized { { "10.0.0.1", 7000 }, 30, "n1", 120 };
    cr_assert_eq(sized.text(), "10.0.0.1:7000#30@n1*120");
    const MemberName read = MemberName::parse(sized.text()).value();
    cr_assert_eq(read.node, "n1");
    cr_assert_eq(read.milliCores, 120U);
    const MemberName earlier = MemberName::parse("10.0.0.1:7000#3@n1").value();
    cr_assert_eq(earlier.milliCores, 0U);
    cr_assert(read.provesEndOf(earlier));
    cr_assert(earlier.provesEndOf(read));
    for (const char *odd : { "n1*", "n1*x", "n1*-1", "n1*12x", "n1*99999999999" }) {
        const std::string text = std::string("10.0.0.1:7000#3@") + odd;
        cr_assert_eq(MemberName::parse(text)->milliCores, 0U, "%s", odd);
        cr_assert_eq(MemberName::parse(text)->text(), text);
    }
}
