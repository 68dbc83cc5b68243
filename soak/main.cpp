#include "soak/SoakRun.h"

#include <docopt.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace {

using namespace bulrush::soak;

constexpr const char *usage =
        R"(Runs real daemons against a stand-in of the users' platform, with seeded faults from outside.

Usage:
  soak --daemon PATH [--seeds N] [--first-seed N] [--fault-s N] [--nodes N] [--workers N]

Options:
  --daemon PATH     the daemon's program
  --seeds N         seeds to run, one after the other [default: 50]
  --first-seed N    the first of them [default: 1]
  --fault-s N       seconds of faults a seed [default: 20]
  --nodes N         daemons [default: 4]
  --workers N       workers [default: 8]
)";

int number(const std::map<std::string, docopt::value> &options, const char *name)
{
    return static_cast<int>(options.at(name).asLong());
}

/** Returns whether the run kept all promises; its folder stays when it did not. */
bool runSeed(SoakSettings settings)
{
    const auto folder = std::filesystem::temp_directory_path()
            / ("bulrush-soak-" + std::to_string(getpid()) + "-" + std::to_string(settings.seed));
    std::filesystem::create_directories(folder);
    settings.folder = folder;
    const SoakResult result = SoakRun(settings).run();
    std::cout << "seed " << settings.seed << ": " << result.accepted << " jobs accepted, "
              << result.runs << " runs; faults: " << result.faults << '\n';
    for (const std::string &what : result.broken) {
        std::cout << "  broken: " << what << '\n';
    }
    for (const std::string &job : result.unfinished) {
        std::cout << "  not finished: " << job << '\n';
    }
    const bool kept = result.broken.empty() && result.unfinished.empty() && result.accepted > 0;
    if (kept) {
        std::filesystem::remove_all(folder);
    } else {
        std::cout << "  FAILED; logs stay in " << folder << '\n';
    }
    std::cout.flush();
    return kept;
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, docopt::value> options =
            docopt::docopt(usage, { argv + 1, argv + argc }, true);
    SoakSettings settings;
    settings.daemon = options.at("--daemon").asString();
    settings.faultSpan = std::chrono::seconds(number(options, "--fault-s"));
    settings.nodes = number(options, "--nodes");
    settings.workers = number(options, "--workers");
    const int first = number(options, "--first-seed");
    int failed = 0;
    for (int seed = first; seed < first + number(options, "--seeds"); ++seed) {
        settings.seed = static_cast<unsigned>(seed);
        failed += runSeed(settings) ? 0 : 1;
    }
    std::cout << failed << " seeds failed\n";
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
