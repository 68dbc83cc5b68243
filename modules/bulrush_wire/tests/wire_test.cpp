#include "bulrush_core/bulrush_core.h"
#include "bulrush_wire/bulrush_wire.h"

#include <criterion/criterion.h>

#include <random>

using namespace bulrush;

namespace {

wire::Bytes sampleFrame()
{
    wire::RecordsT records;
    records.stream = "records";
    for (int offset = 0; offset < 5; ++offset) {
        auto record = std::make_unique<wire::LogRecordT>();
        record->offset = offset;
        record->body = "body";
        records.records.push_back(std::move(record));
    }
    return wire::encode(std::move(records));
}

} // namespace

Test(PeerFrames, decodingRestoresEncodedRecords)
{
    const wire::Bytes bytes = sampleFrame();
    const wire::Frame &frame = wire::readFrame(bytes, "peer");
    const auto *records = frame.message_as_Records();
    cr_assert_not_null(records);
    cr_assert_eq(records->records()->size(), 5U);
    cr_assert_eq(records->records()->Get(4)->offset(), 4U);
}

Test(PeerFrames, randomMutationsAreRefusedOrSafeToRead)
{
    const wire::Bytes original = sampleFrame();
    std::mt19937 random(20261203);
    int refused = 0;
    for (int round = 0; round < 20'000; ++round) {
        wire::Bytes bytes = original;
        const auto changes = 1 + random() % 4;
        for (unsigned change = 0; change < changes; ++change) {
            bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        }
        bytes.resize(bytes.size() - random() % 8);
        try {
            const wire::Frame &frame = wire::readFrame(bytes, "peer");
            std::unique_ptr<wire::FrameT> unpacked(frame.UnPack());
            cr_assert_not_null(unpacked.get());
        } catch (const Error &error) {
            cr_assert_eq(error.peer(), "peer");
            ++refused;
        }
    }
    cr_assert_gt(refused, 1000);
}

Test(PeerFrames, emptyFrameIsRefused)
{
    cr_assert_throw(wire::readFrame({}, "peer"), Error);
}
