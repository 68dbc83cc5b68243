#include "CaseRun.h"

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <limits>
#include <string_view>

namespace review {

int runCase(int argc, char **argv,
            const std::function<int(Record &record, const std::string &folder, bool trouble)> &run)
{
    if (argc != 3) {
        std::cerr << "usage: case RECORD FOLDER\n";
        return couldNotRun;
    }
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string_view(setting) != "0";
    int status = couldNotRun;
    Record record(argv[1]);
    try {
        status = run(record, argv[2], trouble);
    } catch (const std::exception &error) {
        record.write(std::string("the case could not run: ") + error.what());
    }
    constexpr std::string_view verdicts[] = { "the rule held", "the rule was broken",
                                              "the case could not run" };
    record.write(std::string(verdicts[status]));
    std::cout << verdicts[status] << std::endl;
    return status;
}

bool ranTwice(Record &record, const RunBook &book, const std::string &task)
{
    const std::vector<RunOfTask> runs = book.runsOf(task);
    bool found = false;
    for (std::size_t one = 0; one < runs.size(); ++one) {
        for (std::size_t other = one + 1; other < runs.size(); ++other) {
            const std::int64_t end =
                    runs[one].endedAt.value_or(std::numeric_limits<std::int64_t>::max());
            if (runs[other].startedAt < end) {
                record.write("TWICE: two runs of " + task + " at the same time, on "
                             + runs[one].executor + " and " + runs[other].executor);
                found = true;
            } else if (runs[one].how == "done" && runs[one].notedAt) {
                record.write("TWICE: a start of " + task + " on " + runs[other].executor + " at "
                             + std::to_string(runs[other].startedAt)
                             + " ms, after the run that ended done at "
                             + std::to_string(*runs[one].endedAt)
                             + " ms, whose end was taken note of at "
                             + std::to_string(*runs[one].notedAt) + " ms");
                found = true;
            }
        }
    }
    return found;
}

} // namespace review
