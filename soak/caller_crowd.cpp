#include "soak/CallerCrowdRun.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <unistd.h>

/** Checks a real daemon under a crowd of callers that keep to no limit.
    Usage: soak_caller_crowd DAEMON CASE */
int main(int argc, char **argv)
{
    using namespace bulrush::soak;
    const std::vector<CrowdCase> cases = crowdCases();
    const auto wanted = std::find_if(cases.begin(), cases.end(), [&](const CrowdCase &each) {
        return argc == 3 && each.name == argv[2];
    });
    if (wanted == cases.end()) {
        std::cerr << "usage: soak_caller_crowd DAEMON CASE\n";
        return EXIT_FAILURE;
    }
    const auto folder = std::filesystem::temp_directory_path()
            / ("bulrush-caller-crowd-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    CallerCrowdRun run(argv[1], folder);
    const auto failures = run.run(*wanted);
    std::cout << wanted->name << ": " << run.figures() << '\n';
    for (const std::string &failure : failures) {
        std::cout << "failed: " << failure << '\n';
    }
    if (failures.empty()) {
        std::filesystem::remove_all(folder);
        return EXIT_SUCCESS;
    }
    std::cout << "logs are kept in " << folder << '\n';
    return EXIT_FAILURE;
}
