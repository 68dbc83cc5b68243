#include "bulrush_node/bulrush_node.h"
#include "platform/node/PlatformNode.h"
#include "platform/settings/SettingsFile.h"

#include <docopt/docopt.h>

#include <atomic>
#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

constexpr char usage[] = R"(bulrushrilld: the daemon of an entry VM.

Usage:
  bulrushrilld --settings FILE [--check-settings]
  bulrushrilld --platform [--settings FILE] [--check-settings]
  bulrushrilld (-h | --help)
  bulrushrilld --version

Options:
  --settings FILE   Settings file, JSON; docs/CONFIGURATION.md describes each field.
  --platform        Run on a platform that provides its own store. The settings file is the
                    platform's, YAML; without --settings the environment names its path.
  --check-settings  Check the settings and exit.
  -h --help         Show this text.
  --version         Show the version.

SIGTERM or SIGINT starts a graceful stop: the node reports that it is not ready and answers the
requests in flight.

Exit status: 0 after a graceful stop or a successful check, 1 when the settings are invalid or an
endpoint cannot be bound, 2 for an invalid command line.
)";

constexpr int exitFailure = 1;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw bulrush::Error("read settings", path, "the file cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/** Runs a node until a signal or an operator stops it and its open requests are answered. */
void runNode(const bulrush::NodeSettings &settings)
{
    // The signals are blocked in every thread, so that only signalThread receives them.
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const bulrush::SystemClock clock;
    bulrush::NodeRuntime runtime(settings, clock);
    std::atomic<bool> ended = false;
    std::thread signalThread([&runtime, &ended, signals] {
        constexpr timespec pollPeriod { 0, 200'000'000 };
        while (!ended && sigtimedwait(&signals, nullptr, &pollPeriod) < 0) { }
        runtime.drain();
    });
    runtime.run();
    // A drain requested by an operator stops the node without a signal.
    ended = true;
    signalThread.join();
}

/** Returns the path of the platform's settings file, from the option or from the environment. */
std::string platformSettingsPath(const docopt::value &option)
{
    if (option.isString()) {
        return option.asString();
    }
    const char *path = std::getenv(bulrush::platform::settingsVariable);
    if (path == nullptr) {
        throw bulrush::Error("read settings", bulrush::platform::settingsVariable,
                             "the environment variable is not set");
    }
    return path;
}

void runOnPlatform(const std::string &path, bool checkOnly)
{
    const bulrush::EntrySettings settings = bulrush::platform::readSettingsFile(path);
    if (checkOnly) {
        std::cout << path << ": the settings are valid\n";
        return;
    }
    bulrush::platform::runNode(settings, path);
}

void runStandalone(const std::string &path, bool checkOnly)
{
    const bulrush::NodeSettings settings = bulrush::readSettings(readFile(path));
    bulrush::durationsOf(settings);
    if (checkOnly) {
        std::cout << path << ": the settings are valid\n";
        return;
    }
    runNode(settings);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto options = docopt::docopt(usage, arguments, true, "bulrushrilld 0.1.0");
    const bool checkOnly = options.at("--check-settings").asBool();
    try {
        if (options.at("--platform").asBool()) {
            runOnPlatform(platformSettingsPath(options.at("--settings")), checkOnly);
        } else {
            runStandalone(options.at("--settings").asString(), checkOnly);
        }
        return 0;
    } catch (const bulrush::Error &error) {
        std::cerr << "bulrushrilld: " << error.what() << "\n";
        return exitFailure;
    }
}
