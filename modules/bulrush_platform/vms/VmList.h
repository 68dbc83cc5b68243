#pragma once

#include "bulrush_core/ids/Id.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/** The state of a VM as reported by the platform. */
enum class VmState : std::uint8_t { Live, Leaving, Gone };

/** One entry of the platform's list of VMs. */
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

/** The platform's list of VMs. It lags behind the VMs' actual state and is not authoritative. */
class VmList
{
public:
    /** Called with the list; empty if it could not be read. */
    using Callback = std::function<void(std::optional<std::vector<VmEntry>>)>;

    VmList() = default;
    virtual ~VmList() = default;
    VmList(const VmList &) = delete;
    VmList &operator=(const VmList &) = delete;

    /** Requests the list. */
    virtual void readVms(Callback callback) = 0;
};

} // namespace bulrush
