#include "standins/callers/CallerRun.h"
#include "standins/common/CommandLine.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <sstream>

namespace {

using namespace bulrush::standins;

constexpr const char *usage = R"(The stand-in for callers behind the platform's balancer.

Usage:
  standin_callers --nodes=<ports> --targets=<ports> --service=<name> [options]
  standin_callers --help

Options:
  --nodes=<ports>      Callers' ports of the nodes, with commas.
  --targets=<ports>    Ports of the targets, whose books are compared at the end.
  --service=<name>     The service that is called.
  --requests=<n>       Requests [default: 200].
  --parallel=<n>       Callers [default: 8].
  --work-ms=<ms>       How long a target works on a request [default: 20].
  --pause-ms=<ms>      Pause of a caller between requests [default: 0].
  --deadline-ms=<ms>   Deadline of each request [default: 2000].
  --keyed              The requests are not idempotent and carry a key.

Exit status 0 when every answer was whole and the caller's own, no key ran twice, and no key of
which all tries were answered "not run" ran.
)";

std::vector<int> portsOf(const std::string &text)
{
    std::vector<int> ports;
    std::istringstream words(text);
    for (std::string word; std::getline(words, word, ',');) {
        ports.push_back(std::stoi(word));
    }
    return ports;
}

/** Returns how often each key ran, by the targets' own books. */
std::map<std::string, int> executions(const std::vector<int> &targets)
{
    std::map<std::string, int> counts;
    for (const int port : targets) {
        httplib::Client client("127.0.0.1", port);
        const httplib::Result result = client.Get("/stats");
        if (!result) {
            throw std::runtime_error("target on port " + std::to_string(port) + " does not answer");
        }
        const nlohmann::json stats = nlohmann::json::parse(result->body);
        for (const auto &[key, count] : stats.at("executions").items()) {
            counts[key] += count.get<int>();
        }
    }
    return counts;
}

struct KeyFaults
{
    int ranTwice = 0;
    int ranThoughNotRun = 0;
    int answeredThoughNeverRun = 0;
};

KeyFaults compare(const std::map<std::string, CallerRun::KeyOutcome> &keys,
                  const std::map<std::string, int> &ran)
{
    KeyFaults faults;
    for (const auto &[key, outcome] : keys) {
        const auto found = ran.find(key);
        const int times = found == ran.end() ? 0 : found->second;
        faults.ranTwice += times > 1 ? 1 : 0;
        faults.ranThoughNotRun += outcome == CallerRun::KeyOutcome::NotRun && times > 0 ? 1 : 0;
        faults.answeredThoughNeverRun +=
                outcome == CallerRun::KeyOutcome::Answered && times == 0 ? 1 : 0;
    }
    return faults;
}

bool run(const CommandLine &options)
{
    CallerSettings settings;
    settings.service = options.text("--service");
    settings.requests = options.number("--requests");
    settings.parallel = options.number("--parallel");
    settings.workMs = options.number("--work-ms");
    settings.pauseMs = options.number("--pause-ms");
    settings.deadlineMs = options.number("--deadline-ms");
    settings.keyed = options.isSet("--keyed");
    Balancer balancer(portsOf(options.text("--nodes")));
    CallerRun callers(settings, balancer);
    const CallerCounts counts = callers.run();
    const KeyFaults faults = settings.keyed
            ? compare(callers.keys(), executions(portsOf(options.text("--targets"))))
            : KeyFaults();
    std::cout << (settings.keyed ? "keyed: " : "idempotent: ") << counts.answered << " answered, "
              << counts.duplicate << " answered to an earlier try, " << counts.unknown
              << " unknown, " << counts.givenUp << " given up, " << counts.wrong << " wrong, "
              << counts.tries << " tries, slowest " << static_cast<int>(counts.slowestMs) << " ms";
    if (settings.keyed) {
        std::cout << "; ran twice " << faults.ranTwice << ", ran though 'not run' "
                  << faults.ranThoughNotRun << ", answered though never run "
                  << faults.answeredThoughNeverRun;
    }
    std::cout << std::endl;
    const bool keysRight = faults.ranTwice == 0 && faults.ranThoughNotRun == 0
            && faults.answeredThoughNeverRun == 0;
    const bool allAnswered = settings.keyed || counts.answered == settings.requests;
    return counts.wrong == 0 && counts.givenUp == 0 && keysRight && allAnswered;
}

} // namespace

int main(int argc, char **argv)
{
    const CommandLine options(usage, argc, argv);
    try {
        return run(options) ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &error) {
        std::cerr << "standin_callers: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
