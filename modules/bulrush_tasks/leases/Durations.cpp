#include "bulrush_tasks/leases/Durations.h"

#include <array>

namespace bulrush {

namespace {

/** One inequality that a set of durations must satisfy. */
struct Rule
{
    std::string_view text;
    bool (*holds)(const Durations &);
};

constexpr std::array rules {
    Rule { "lease >= 3 * exchangePeriod + transit: a lease survives two lost exchanges",
           [](const Durations &d) { return d.lease >= 3 * d.exchangePeriod + d.transit; } },
    Rule { "exchangeTimeout <= exchangePeriod: one exchange with a worker at a time",
           [](const Durations &d) { return d.exchangeTimeout <= d.exchangePeriod; } },
    Rule { "transit >= exchangeTimeout: an exchange that can still be answered is valid",
           [](const Durations &d) { return d.transit >= d.exchangeTimeout; } },
    Rule { "clockAllowance >= clockDriftPpm of renewalHorizon + transit + lease",
           [](const Durations &d) {
               const Duration span = d.renewalHorizon + d.transit + d.lease;
               return d.clockAllowance >= span / 1'000'000 * clockDriftPpm;
           } },
    Rule { "renewalHorizon >= longestOutage: leases outlast an outage of the log",
           [](const Durations &d) { return d.renewalHorizon >= d.longestOutage; } },
    Rule { "silence >= 2 * exchangePeriod + exchangeTimeout: one lost exchange revokes no worker",
           [](const Durations &d) {
               return d.silence >= 2 * d.exchangePeriod + d.exchangeTimeout;
           } },
    Rule { "retention > 2 * snapshotInterval + longestOutage: the log always holds a snapshot",
           [](const Durations &d) {
               return d.retention > 2 * d.snapshotInterval + d.longestOutage;
           } },
    Rule { "batchInterval + 2 * appendTimeout <= urgentStartBound: one lost append is tolerated",
           [](const Durations &d) {
               return d.batchInterval + 2 * d.appendTimeout <= urgentStartBound;
           } },
    Rule { "checkpointWait >= exchangePeriod: the checkpoint can be answered before the stop",
           [](const Durations &d) { return d.checkpointWait >= d.exchangePeriod; } },
};

} // namespace

Duration Durations::lapseWait() const
{
    return this->renewalHorizon + this->transit + this->lease + this->clockAllowance;
}

Duration Durations::goneWait() const
{
    return this->listLag + this->transit + this->lease + this->clockAllowance;
}

std::vector<std::string> checkDurations(const Durations &durations)
{
    std::vector<std::string> broken;
    for (const Rule &rule : rules) {
        if (!rule.holds(durations)) {
            broken.emplace_back(rule.text);
        }
    }
    return broken;
}

} // namespace bulrush
