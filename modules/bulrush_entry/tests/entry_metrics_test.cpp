#include "bulrush_entry/node/EntryMetrics.h"

#include <criterion/criterion.h>

#include <stdexcept>
#include <string>

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

/* Of the waits of long-running tasks it was not known how many were beyond what callers bear. */
Test(EntryMetrics, tellsRestartWaitsOfSixSecondsFromLongerOnes)
{
    EntryMetrics metrics;
    metrics.recordRestartWait(milliseconds(2900));
    metrics.recordRestartWait(milliseconds(5900));
    metrics.recordRestartWait(milliseconds(6100));
    metrics.recordRestartWait(milliseconds(29000));
    const std::string text = metrics.text();
    const std::string bucket = "bulrush_entry_restart_wait_seconds_bucket{le=";
    for (const char *line : { "\"3\"} 1\n", "\"6\"} 2\n", "\"9\"} 3\n", "\"30\"} 4\n" }) {
        cr_expect(text.find(bucket + line) != std::string::npos, "no %s in %s", line, text.c_str());
    }
}

/* An outcome that has not occurred yet had no series, so that its rate could not be watched. */
Test(EntryMetrics, countsReservationsOfEachOutcome)
{
    EntryMetrics metrics;
    const std::string total = "bulrush_entry_reservations_total{outcome=";
    cr_expect(metrics.text().find(total + "\"lapsed\"} 0\n") != std::string::npos);
    metrics.recordReservations({ 9, 1, 2, 3 });
    metrics.recordReservations({ 9, 1, 2, 3 });
    const std::string text = metrics.text();
    for (const char *line : { "\"used\"} 2\n", "\"lapsed\"} 4\n", "\"dropped\"} 6\n" }) {
        cr_expect(text.find(total + line) != std::string::npos, "no %s in %s", line, text.c_str());
    }
}

/* Restarts of workers showed in the log only, not how often commands met another process. */
Test(EntryMetrics, countsEventsOfWorkerProcesses)
{
    EntryMetrics metrics;
    const std::string total = "bulrush_entry_worker_processes_total{event=";
    cr_expect(metrics.text().find(total + "\"restarted\"} 0\n") != std::string::npos);
    metrics.recordWorkerProcesses({ 1, 2, 3, 4 });
    metrics.recordWorkerProcesses({ 1, 2, 3, 4 });
    const std::string text = metrics.text();
    for (const char *line : { "\"restarted\"} 2\n", "\"doubted\"} 4\n",
                              "\"took_others_command\"} 6\n", "\"refused_older_token\"} 8\n" }) {
        cr_expect(text.find(total + line) != std::string::npos, "no %s in %s", line, text.c_str());
    }
}

/* Runs that lapse for want of a renewal around a takeover showed in single log lines only. */
Test(EntryMetrics, countsLapsedRunsSoonAfterATakeoverApart)
{
    EntryMetrics metrics;
    const std::string total = "bulrush_entry_lapsed_runs_total{listed=";
    cr_expect(metrics.text().find(total + "\"later\"} 0\n") != std::string::npos);
    metrics.recordLapsedRuns({ 2, 3 });
    metrics.recordLapsedRuns({ 2, 3 });
    const std::string text = metrics.text();
    for (const char *line : { "\"soon_after_takeover\"} 4\n", "\"later\"} 6\n" }) {
        cr_expect(text.find(total + line) != std::string::npos, "no %s in %s", line, text.c_str());
    }
}
