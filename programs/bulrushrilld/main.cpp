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
  --settings FILE   The settings, JSON; docs/CONFIGURATION.md describes each field.
  --platform        Run on a platform with a store of its own. The settings are the platform's file,
                    YAML; without --settings the environment names it.
  --check-settings  Check the settings and end.
  -h --help         Show this text.
  --version         Show the version.

SIGTERM or SIGINT begins a graceful stop: readiness turns, requests in flight are answered.

Exit status: 0 after a graceful stop or a successful check, 1 when the settings are refused or an
endpoint cannot be bound, 2 for a wrong command line.
)";

constexpr int exitRefused = 1;

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

/** Runs a node until a signal asks it to stop and its requests are answered. */
void runNode(const bulrush::NodeSettings &settings)
{
    // Blocked in every thread, so that only the waiting thread takes them.
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const bulrush::SystemClock clock;
    bulrush::NodeRuntime runtime(settings, clock);
    std::atomic<bool> ended = false;
    std::thread waiter([&runtime, &ended, signals] {
        constexpr timespec pollPeriod { 0, 200'000'000 };
        while (!ended && sigtimedwait(&signals, nullptr, &pollPeriod) < 0) { }
        runtime.drain();
    });
    runtime.run();
    // An operator's drain ends the node without a signal.
    ended = true;
    waiter.join();
}

/** Returns the path of the platform's settings file. */
std::string platformSettingsPath(const docopt::value &option)
{
    if (option.isString()) {
        return option.asString();
    }
    const char *path = std::getenv(bulrush::platform::settingsVariable);
    if (path == nullptr) {
        throw bulrush::Error("read settings", bulrush::platform::settingsVariable,
                             "the environment names no settings file");
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

void runOwn(const std::string &path, bool checkOnly)
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
    const std::vector<std::string> words(argv + 1, argv + argc);
    const auto options = docopt::docopt(usage, words, true, "bulrushrilld 0.1.0");
    const bool checkOnly = options.at("--check-settings").asBool();
    try {
        if (options.at("--platform").asBool()) {
            runOnPlatform(platformSettingsPath(options.at("--settings")), checkOnly);
        } else {
            runOwn(options.at("--settings").asString(), checkOnly);
        }
        return 0;
    } catch (const bulrush::Error &error) {
        std::cerr << "bulrushrilld: " << error.what() << "\n";
        return exitRefused;
    }
}
