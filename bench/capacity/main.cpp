/**
    bench_capacity: measures the cost of each role of a node at several sizes and fits lines to it.

    Usage: bench_capacity --daemon FILE [--output FILE] [--plot-data FILE] [--compare FILE]
                          [--seed N] [--commit ID]
           bench_capacity --from FILE [--plot-data FILE]

    The second form measures nothing and computes the model from an earlier result. The file of
    --daemon holds the output of tools/measure-daemon.
*/

#include "DaemonMeasures.h"
#include "DecisionMeasures.h"
#include "GroupMeasures.h"
#include "KeyMeasures.h"
#include "PeerMeasures.h"
#include "PlatformMeasures.h"
#include "RecordMeasures.h"
#include "Report.h"
#include "WorkStreamMeasures.h"

#include "bulrush_core/errors/Error.h"

#include <cstdio>
#include <iterator>

namespace {

using namespace bulrush;
using namespace bulrush::bench;

struct Options
{
    std::string daemon = "daemon.dat";
    std::string output = "capacity.json";
    std::string plotData = "capacity.dat";
    std::string compare;
    std::string from;
    RunInfo info;
};

Options parse(int count, char **arguments)
{
    Options options;
    for (int index = 1; index < count; index += 2) {
        const std::string name(arguments[index]);
        if (index + 1 == count) {
            throw Error("parse options", name, "a value is missing");
        }
        const std::string value(arguments[index + 1]);
        if (name == "--daemon") {
            options.daemon = value;
        } else if (name == "--plot-data") {
            options.plotData = value;
        } else if (name == "--output") {
            options.output = value;
        } else if (name == "--from") {
            options.from = value;
        } else if (name == "--compare") {
            options.compare = value;
        } else if (name == "--seed") {
            options.info.seed = std::stoull(value);
        } else if (name == "--commit") {
            options.info.commit = value;
        } else {
            throw Error("parse options", name, "unknown option");
        }
    }
    return options;
}

void append(std::vector<Series> &all, std::vector<Series> more)
{
    std::move(more.begin(), more.end(), std::back_inserter(all));
}

std::vector<Series> measureAll(const Options &options)
{
    const std::uint64_t seed = options.info.seed;
    std::vector<Series> all = readDaemonMeasures(options.daemon);
    append(all, measureGroupOwner(seed));
    append(all, measureWorkStream());
    append(all, measureRecords());
    append(all, measurePeers());
    append(all, measureKeys());
    append(all, measurePlatform());
    append(all, measureDecisions(seed));
    return all;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const Options options = parse(argc, argv);
        const bool isMeasuring = options.from.empty();
        const std::vector<Series> all =
                isMeasuring ? measureAll(options) : readResult(options.from);
        const Target target;
        const Model model(all, target, {});
        printTable(all);
        printModel("Current build", model.today(), target);
        printModel("With the proposed changes", model.proposed(), target);
        if (isMeasuring) {
            writeResult(options.output, options.info, all, model);
        }
        writePlotData(options.plotData, all, model);
        if (!options.compare.empty()) {
            printComparison(options.compare, all);
        }
        return 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "bench_capacity: %s\n", error.what());
        return 1;
    }
}
