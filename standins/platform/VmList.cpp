#include "standins/platform/VmList.h"

#include <algorithm>

namespace bulrush::standins {

bool isValid(const Vm &vm)
{
    const bool knownRole = vm.role == "worker" || vm.role == "executor";
    const bool knownState = vm.state == "live" || vm.state == "leaving" || vm.state == "gone";
    return !vm.vm.empty() && knownRole && knownState;
}

void VmList::put(Vm vm, UnixMs now)
{
    NameAndRole key(vm.vm, vm.role);
    this->versions[std::move(key)].push_back({ now, std::move(vm) });
}

std::vector<Vm> VmList::list(UnixMs now, std::int64_t lagMs) const
{
    std::vector<Vm> visible;
    for (const auto &[key, history] : this->versions) {
        const auto latest =
                std::find_if(history.rbegin(), history.rend(),
                             [&](const Version &version) { return version.time <= now - lagMs; });
        if (latest != history.rend()) {
            visible.push_back(latest->vm);
        }
    }
    return visible;
}

} // namespace bulrush::standins
