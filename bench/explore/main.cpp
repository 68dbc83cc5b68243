/**
    explore_tasks FIRST COUNT: runs seeds of the explorer of bulrush_tasks, and prints the first
    fault that it finds with the trouble that it needs.
*/

#include "explorer/Explorer.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

int main(int argumentCount, char **arguments)
{
    const std::uint64_t first = argumentCount > 1 ? std::strtoull(arguments[1], nullptr, 10) : 1;
    const std::uint64_t count = argumentCount > 2 ? std::strtoull(arguments[2], nullptr, 10) : 1000;
    const auto start = std::chrono::steady_clock::now();
    const auto finding = bulrush::explorer::exploreSeeds({}, first, count);
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    if (finding) {
        std::cout << bulrush::explorer::describe(*finding) << '\n';
        return 1;
    }
    std::cout << count << " seeds from " << first << " on: no fault, " << taken.count() << " s\n";
    return 0;
}
