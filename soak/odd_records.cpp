#include "soak/OddRecordsRun.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <unistd.h>

/** Checks real daemons beside malformed records of other writers.
    Usage: soak_odd_records DAEMON */
int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: soak_odd_records DAEMON\n";
        return EXIT_FAILURE;
    }
    const auto folder = std::filesystem::temp_directory_path()
            / ("bulrush-odd-records-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const auto failures = bulrush::soak::OddRecordsRun(argv[1], folder).run();
    for (const std::string &failure : failures) {
        std::cout << "failed: " << failure << '\n';
    }
    std::cout << failures.size() << " checks failed\n";
    if (failures.empty()) {
        std::filesystem::remove_all(folder);
        return EXIT_SUCCESS;
    }
    std::cout << "logs are kept in " << folder << '\n';
    return EXIT_FAILURE;
}
