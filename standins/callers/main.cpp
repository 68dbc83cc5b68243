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

constexpr const char *usage = R"(Stand-in for callers behind the platform's balancer.

Usage:
  standin_callers --nodes=<ports> --targets=<ports> --service=<name> [options]
  standin_callers --help

Options:
  --nodes=<ports>      Callers' ports of the nodes, separated by commas.
  --targets=<ports>    Ports of the targets whose execution counts are checked at the end.
  --service=<name>     Name of the service to call.
  --requests=<n>       Number of requests [default: 200].
  --parallel=<n>       Number of callers [default: 8].
  --work-ms=<ms>       Processing time of a request on the target [default: 20].
  --pause-ms=<ms>      Pause of a caller between requests [default: 0].
  --deadline-ms=<ms>   Deadline of each request [default: 2000].
  --keyed              Sends requests that are not idempotent and carry a key.

Exit status 0 when every answer was complete and matched its request, no key was executed twice, and
no key was executed whose tries were all answered "not run".
)";

std::vector<int> parsePorts(const std::string &text)
{
    std::vector<int> ports;
    std::istringstream words(text);
    for (std::string word; std::getline(words, word, ',');) {
        ports.push_back(std::stoi(word));
    }
    return ports;
}

/** Returns how often each key was executed, as counted by the targets. */
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

struct KeyErrors
{
    int executedTwice = 0;
    int executedDespiteNotRun = 0;
    int answeredWithoutExecution = 0;
};

KeyErrors countKeyErrors(const std::map<std::string, CallerRun::KeyOutcome> &keys,
                         const std::map<std::string, int> &executionCounts)
{
    KeyErrors errors;
    for (const auto &[key, outcome] : keys) {
        const auto found = executionCounts.find(key);
        const int executionCount = found == executionCounts.end() ? 0 : found->second;
        errors.executedTwice += executionCount > 1 ? 1 : 0;
        errors.executedDespiteNotRun +=
                outcome == CallerRun::KeyOutcome::NotRun && executionCount > 0 ? 1 : 0;
        errors.answeredWithoutExecution +=
                outcome == CallerRun::KeyOutcome::Answered && executionCount == 0 ? 1 : 0;
    }
    return errors;
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
    Balancer balancer(parsePorts(options.text("--nodes")));
    CallerRun callers(settings, balancer);
    const CallerCounts counts = callers.run();
    const KeyErrors errors = settings.keyed
            ? countKeyErrors(callers.keys(), executions(parsePorts(options.text("--targets"))))
            : KeyErrors();
    std::cout << (settings.keyed ? "keyed: " : "idempotent: ") << counts.answered << " answered, "
              << counts.duplicate << " duplicates of an earlier try, " << counts.unknown
              << " unknown, " << counts.givenUp << " given up, " << counts.wrong << " wrong, "
              << counts.tries << " tries, slowest " << static_cast<int>(counts.slowestMs) << " ms";
    if (settings.keyed) {
        std::cout << "; executed twice " << errors.executedTwice << ", executed despite 'not run' "
                  << errors.executedDespiteNotRun << ", answered without execution "
                  << errors.answeredWithoutExecution;
    }
    std::cout << std::endl;
    const bool keysCorrect = errors.executedTwice == 0 && errors.executedDespiteNotRun == 0
            && errors.answeredWithoutExecution == 0;
    const bool allAnswered = settings.keyed || counts.answered == settings.requests;
    return counts.wrong == 0 && counts.givenUp == 0 && keysCorrect && allAnswered;
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
