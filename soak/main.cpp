#include "soak/SoakRun.h"

#include <docopt.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace {

using namespace bulrush::soak;

constexpr const char *usage =
        R"(Runs daemons against a stand-in for the users' platform and injects seeded faults.

Usage:
  soak --daemon PATH [--seeds N] [--first-seed N] [--fault-s N] [--nodes N] [--workers N]
       [--cuts-after-restarts] [--early-cancellations] [--evacuations]

Options:
  --daemon PATH     path of the daemon's executable
  --seeds N         number of seeds, run one after another [default: 50]
  --first-seed N    first seed [default: 1]
  --fault-s N       duration of the faults of each seed, in seconds [default: 20]
  --nodes N         number of daemons [default: 4]
  --workers N       number of workers [default: 8]
  --cuts-after-restarts  also cut workers off soon after restarts, and carry commands out late
  --early-cancellations  also cancel jobs whose submission was not answered, and store some of them late
  --evacuations     also evacuate data centres
)";

int number(const std::map<std::string, docopt::value> &options, const char *name)
{
    return static_cast<int>(options.at(name).asLong());
}

/** Returns whether the run passed. The folder with the logs is kept when it failed. */
bool runSeed(SoakSettings settings)
{
    const auto folder = std::filesystem::temp_directory_path()
            / ("bulrush-soak-" + std::to_string(getpid()) + "-" + std::to_string(settings.seed));
    std::filesystem::create_directories(folder);
    settings.folder = folder;
    const SoakResult result = SoakRun(settings).run();
    std::cout << "seed " << settings.seed << ": " << result.accepted << " jobs accepted, "
              << result.runs << " runs; faults: " << result.faults << '\n';
    for (const std::string &violation : result.violations) {
        std::cout << "  broken: " << violation << '\n';
    }
    for (const std::string &job : result.unfinishedJobs) {
        std::cout << "  not finished: " << job << '\n';
    }
    const bool passed =
            result.violations.empty() && result.unfinishedJobs.empty() && result.accepted > 0;
    if (passed) {
        std::filesystem::remove_all(folder);
    } else {
        std::cout << "  FAILED; logs are kept in " << folder << '\n';
    }
    std::cout.flush();
    return passed;
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, docopt::value> options =
            docopt::docopt(usage, { argv + 1, argv + argc }, true);
    SoakSettings settings;
    settings.daemon = options.at("--daemon").asString();
    settings.faultDuration = std::chrono::seconds(number(options, "--fault-s"));
    settings.nodes = number(options, "--nodes");
    settings.workers = number(options, "--workers");
    settings.cutsAfterRestarts = options.at("--cuts-after-restarts").asBool();
    settings.earlyCancellations = options.at("--early-cancellations").asBool();
    settings.evacuations = options.at("--evacuations").asBool();
    const int first = number(options, "--first-seed");
    int failed = 0;
    for (int seed = first; seed < first + number(options, "--seeds"); ++seed) {
        settings.seed = static_cast<unsigned>(seed);
        failed += runSeed(settings) ? 0 : 1;
    }
    std::cout << failed << " seeds failed\n";
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
