#pragma once

#include "bulrush_core/ids/Id.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/** What the platform says of a VM. */
enum class VmState : std::uint8_t { Live, Leaving, Gone };

/** One row of the platform's list. */
struct VmEntry
{
    VmId vm;
    DataCentreId dataCentre;
    std::string rack;
    std::string address;
    std::uint16_t port = 0;
    VmState state = VmState::Live;
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

/** The platform's list of VMs. It lags: evidence, not truth. */
class VmList
{
public:
    /** Called with the list; none means that the platform did not answer. */
    using Callback = std::function<void(std::optional<std::vector<VmEntry>>)>;

    VmList() = default;
    virtual ~VmList() = default;
    VmList(const VmList &) = delete;
    VmList &operator=(const VmList &) = delete;

    /** Reads the list. */
    virtual void readVms(Callback callback) = 0;
};

} // namespace bulrush
