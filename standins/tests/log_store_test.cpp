#include "standins/platform/LogStore.h"
#include "standins/platform/VmList.h"

#include <criterion/criterion.h>

using namespace bulrush::standins;

namespace {

Vm vmInState(const std::string &state)
{
    return { "vm1", "dc1", "rack1", "worker", "127.0.0.1", 7000, state, 64000, 250000, 0 };
}

} // namespace

Test(LogStore, numbersRecordsOfEachStream)
{
    LogStore log;
    cr_assert_eq(log.append("config", "a", 10), 0U);
    cr_assert_eq(log.append("config", "b", 20), 1U);
    cr_assert_eq(log.append("group/g1", "c", 30), 0U);
    const LogPage page = log.read("config", 0, 10);
    cr_assert_eq(page.first, 0U);
    cr_assert_eq(page.next, 2U);
    cr_assert_eq(page.records.size(), 2U);
    cr_assert_eq(page.records[1].offset, 1U);
    cr_assert_eq(page.records[1].time, 20);
    cr_assert_eq(page.records[1].body, "b");
}

Test(LogStore, readsNoMoreThanRequested)
{
    LogStore log;
    for (int i = 0; i < 5; ++i) {
        log.append("s", std::to_string(i), i);
    }
    const LogPage page = log.read("s", 1, 2);
    cr_assert_eq(page.next, 5U);
    cr_assert_eq(page.records.size(), 2U);
    cr_assert_eq(page.records[0].body, "1");
    cr_assert(log.read("s", 5, 10).records.empty());
    cr_assert(log.read("unknown", 0, 10).records.empty());
}

Test(LogStore, reportsTruncationInsteadOfRecords)
{
    LogStore log;
    for (int i = 0; i < 5; ++i) {
        log.append("s", std::to_string(i), i);
    }
    log.retain(2);
    const LogPage tooOld = log.read("s", 2, 10);
    cr_assert_eq(tooOld.first, 3U);
    cr_assert_eq(tooOld.next, 5U);
    cr_assert(tooOld.records.empty());
    cr_assert_eq(log.read("s", 3, 10).records.size(), 2U);
    cr_assert_eq(log.append("s", "5", 5), 5U);
    cr_assert_eq(log.read("s", 4, 10).first, 4U);
}

Test(LogStore, hasUpdateForRecordsAndTruncations)
{
    LogStore log;
    cr_assert_not(log.hasUpdate("s", 0));
    log.append("s", "a", 0);
    cr_assert(log.hasUpdate("s", 0));
    cr_assert_not(log.hasUpdate("s", 1));
    log.retain(1);
    log.append("s", "b", 0);
    cr_assert(log.hasUpdate("s", 0));
}

Test(VmList, showsChangesAfterTheLag)
{
    VmList vms;
    vms.put(vmInState("live"), 1000);
    vms.put(vmInState("leaving"), 2000);
    cr_assert(vms.list(1400, 500).empty());
    cr_assert_eq(vms.list(1500, 500).at(0).state, "live");
    cr_assert_eq(vms.list(2499, 500).at(0).state, "live");
    cr_assert_eq(vms.list(2500, 500).at(0).state, "leaving");
    cr_assert_eq(vms.list(2000, 0).at(0).state, "leaving");
}

Test(VmList, keepsOneEntryForEachRole)
{
    VmList vms;
    Vm vm = vmInState("live");
    vms.put(vm, 0);
    vm.role = "executor";
    vms.put(vm, 0);
    cr_assert_eq(vms.list(0, 0).size(), 2U);
}

Test(VmList, recognisesValidEntries)
{
    cr_assert(isValid(vmInState("gone")));
    cr_assert_not(isValid(vmInState("sleeping")));
    Vm vm = vmInState("live");
    vm.role = "entry";
    cr_assert_not(isValid(vm));
}
