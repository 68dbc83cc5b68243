#pragma once

#include "standins/common/ProcessClock.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bulrush::standins {

/** A VM in the platform's list. */
struct Vm
{
    std::string vm;
    std::string dataCentre;
    std::string rack;
    std::string role;
    std::string address;
    int port = 0;
    std::string state;
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Vm, vm, dataCentre, rack, role, address, port, state, cpuMilli,
                                   memoryMb, accelerators)

/** Returns true when the VM has a name and one of the known roles and states. */
bool isValid(const Vm &vm);

/**
    The platform's list of VMs, one entry for each VM and role. Changes become visible after a lag.
    Not safe for concurrent use.
*/
class VmList
{
public:
    VmList() = default;

    VmList(const VmList &) = delete;
    VmList &operator=(const VmList &) = delete;

    /** Adds or replaces the entry of a VM in a role. */
    void put(Vm vm, UnixMs now);

    /** Returns the entries as of `lagMs` ago, sorted by name and role. */
    std::vector<Vm> list(UnixMs now, std::int64_t lagMs) const;

private:
    struct Version
    {
        UnixMs time = 0;
        Vm vm;
    };

    using NameAndRole = std::pair<std::string, std::string>;

    std::map<NameAndRole, std::vector<Version>> versions;
};

} // namespace bulrush::standins
