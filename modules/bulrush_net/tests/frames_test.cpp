#include "RunUntil.h"
#include "bulrush_net/bulrush_net.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <set>
#include <span>
#include <string_view>
#include <vector>

using namespace bulrush;

namespace {

struct FramePeer : FrameTransport::Listener
{
    FramePeer(EventLoop &loop, std::uint16_t port)
        : transport(loop, { "127.0.0.1", port }, { 100'000, 1'000'000 }, *this)
    {
    }

    void linkOpened(FrameTransport::LinkId link, bool /*accepted*/) override
    {
        this->open.insert(link);
    }

    void frameArrived(FrameTransport::LinkId /*link*/, std::span<const std::uint8_t> frame) override
    {
        this->frames.emplace_back(frame.begin(), frame.end());
    }

    void linkClosed(FrameTransport::LinkId link, std::string_view /*reason*/) override
    {
        this->open.erase(link);
        ++this->closed;
    }

    std::set<FrameTransport::LinkId> open;
    std::vector<std::vector<std::uint8_t>> frames;
    int closed = 0;
    FrameTransport transport;
};

} // namespace

Test(Frames, arriveCompleteAndInOrder)
{
    EventLoop loop;
    FramePeer a(loop, 18111);
    FramePeer b(loop, 18112);
    const auto link = a.transport.connect({ "127.0.0.1", 18112 });
    runUntil(loop, [&] { return a.open.contains(link) && !b.open.empty(); });
    for (std::size_t size = 0; size < 200; ++size) {
        cr_assert(a.transport.send(link, std::vector<std::uint8_t>(size * 50, 7)));
    }
    runUntil(loop, [&] { return b.frames.size() == 200; });
    for (std::size_t size = 0; size < 200; ++size) {
        cr_assert_eq(b.frames[size].size(), size * 50);
    }
}

Test(Frames, tooLargeFrameIsRefusedBySenderAndReceiver)
{
    EventLoop loop;
    FramePeer a(loop, 18113);
    FramePeer b(loop, 18114);
    const auto link = a.transport.connect({ "127.0.0.1", 18114 });
    runUntil(loop, [&] { return a.open.contains(link); });
    cr_assert_not(a.transport.send(link, std::vector<std::uint8_t>(100'001, 1)));
}

Test(Frames, closedLinkIsReported)
{
    EventLoop loop;
    FramePeer a(loop, 18115);
    FramePeer b(loop, 18116);
    const auto link = a.transport.connect({ "127.0.0.1", 18116 });
    runUntil(loop, [&] { return a.open.contains(link) && !b.open.empty(); });
    a.transport.close(link);
    runUntil(loop, [&] { return b.closed == 1; });
    cr_assert_not(a.transport.send(link, std::vector<std::uint8_t>(1, 1)));
}
