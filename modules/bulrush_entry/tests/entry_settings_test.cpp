#include "bulrush_entry/settings/EntrySettings.h"
#include "bulrush_steps/workers/LeaseClock.h"

#include <criterion/criterion.h>

using namespace bulrush;

/* A worker that restarted had the longest lease by a command of the owner that resigned. */
Test(EntrySettings, aNewOwnerWaitsForTheLongestLeaseThatCommandsOfAResignedOneGive)
{
    EntrySettings settings;
    settings.dispatch.maxLease = milliseconds(9000);
    const milliseconds longest = maxLocalDuration(settings.dispatch.maxLease);
    cr_assert_geq(settings.ownershipTimes().resignedOwnerSettleTime().count(),
                  (longest + seconds(1)).count());
}
