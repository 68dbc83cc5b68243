/**
    explore_tasks FIRST COUNT
        Runs COUNT seeds from FIRST on. Prints the first failure with the kinds of disturbance that
        are needed to reproduce it.
    explore_tasks mutations COUNT [NAME]
        Disables each guard in turn, or only the guard NAME, and runs COUNT seeds. The exit status
        is 1 if a disabled guard is not detected by any seed.
*/

#include "explorer/Mutations.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace {

using namespace bulrush::explorer;

int runMutations(std::uint64_t count, std::string_view onlyName)
{
    int undetected = 0;
    for (const Mutation &mutation : mutations()) {
        if (!onlyName.empty() && mutation.name != onlyName) {
            continue;
        }
        const auto finding = exploreSeeds(mutatedTrial(mutation), 1, count);
        std::cout << "| " << mutation.name << " | ";
        if (finding) {
            std::cout << finding->trial.seed << " | " << finding->failure << " |\n" << std::flush;
        } else {
            std::cout << "- | not detected in " << count << " seeds |\n" << std::flush;
            ++undetected;
        }
        if (finding && !onlyName.empty()) {
            std::cout << describe(*finding) << '\n';
        }
    }
    return undetected == 0 ? 0 : 1;
}

int runSeeds(std::uint64_t first, std::uint64_t count)
{
    const auto start = std::chrono::steady_clock::now();
    const auto finding = exploreSeeds({}, first, count);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    if (finding) {
        std::cout << describe(*finding) << '\n';
        return 1;
    }
    std::cout << count << " seeds from " << first << " on: no failure, " << elapsed.count()
              << " s\n";
    return 0;
}

std::uint64_t parseNumber(int argumentCount, char **arguments, int index, std::uint64_t fallback)
{
    return argumentCount > index ? std::strtoull(arguments[index], nullptr, 10) : fallback;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount > 1 && std::string_view(arguments[1]) == "mutations") {
        return runMutations(parseNumber(argumentCount, arguments, 2, 300),
                            argumentCount > 3 ? arguments[3] : "");
    }
    return runSeeds(parseNumber(argumentCount, arguments, 1, 1),
                    parseNumber(argumentCount, arguments, 2, 1000));
}
