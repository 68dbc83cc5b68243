#include "bulrush_entry/node/EntryMetrics.h"

#include <criterion/criterion.h>

#include <stdexcept>

using namespace bulrush;

/* An outcome without a name in the metrics ended the process at the first call that had it. */
Test(EntryMetrics, countsCallsToTheStoreOfEachOutcome)
{
    EntryMetrics metrics;
    for (const StoreOutcome outcome :
         { StoreOutcome::Done, StoreOutcome::Refused, StoreOutcome::Invalid, StoreOutcome::Fenced,
           StoreOutcome::OutOfOrder, StoreOutcome::Trimmed, StoreOutcome::Unknown }) {
        cr_expect_no_throw(metrics.recordStoreCall("append", outcome, milliseconds(1)),
                           std::out_of_range);
    }
}
