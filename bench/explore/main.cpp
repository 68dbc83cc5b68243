/**
    explore_tasks FIRST COUNT        runs seeds and prints the first fault with the trouble it needs
    explore_tasks mutations COUNT    the same without each guard in turn; a guard whose removal
                                     finds nothing fails the run
*/

#include "explorer/Mutations.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace {

using namespace bulrush::explorer;

int runMutations(std::uint64_t count, std::string_view only)
{
    int missed = 0;
    for (const Mutation &mutation : mutations()) {
        if (!only.empty() && mutation.name != only) {
            continue;
        }
        const auto finding = exploreSeeds(mutated(mutation), 1, count);
        std::cout << "| " << mutation.name << " | ";
        if (finding) {
            std::cout << finding->trial.seed << " | " << finding->fault << " |\n" << std::flush;
        } else {
            std::cout << "- | nothing in " << count << " seeds |\n" << std::flush;
            ++missed;
        }
        if (finding && !only.empty()) {
            std::cout << describe(*finding) << '\n';
        }
    }
    return missed == 0 ? 0 : 1;
}

int runSeeds(std::uint64_t first, std::uint64_t count)
{
    const auto start = std::chrono::steady_clock::now();
    const auto finding = exploreSeeds({}, first, count);
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    if (finding) {
        std::cout << describe(*finding) << '\n';
        return 1;
    }
    std::cout << count << " seeds from " << first << " on: no fault, " << taken.count() << " s\n";
    return 0;
}

std::uint64_t numberOr(int argumentCount, char **arguments, int index, std::uint64_t fallback)
{
    return argumentCount > index ? std::strtoull(arguments[index], nullptr, 10) : fallback;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount > 1 && std::string_view(arguments[1]) == "mutations") {
        return runMutations(numberOr(argumentCount, arguments, 2, 300),
                            argumentCount > 3 ? arguments[3] : "");
    }
    return runSeeds(numberOr(argumentCount, arguments, 1, 1),
                    numberOr(argumentCount, arguments, 2, 1000));
}
