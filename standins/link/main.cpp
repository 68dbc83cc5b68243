#include "standins/common/CommandLine.h"
#include "standins/common/LoopbackServer.h"
#include "standins/link/Relay.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

using namespace bulrush::standins;

constexpr const char *usage = R"(Stand-in for the network between two endpoints.

Usage:
  standin_link --listen=<port> --to=<port> --control=<port> [--lifetime-s=<s>]
  standin_link --help

Options:
  --listen=<port>     Port on 127.0.0.1 whose connections are relayed.
  --to=<port>         Port on 127.0.0.1 to which they are relayed.
  --control=<port>    POST /control {"cut":bool} or {"silence":true} on this port.
  --lifetime-s=<s>    The process ends after this time [default: 600].
)";

void applyFaults(Relay &relay, const nlohmann::json &faults)
{
    if (faults.contains("cut")) {
        relay.setCut(faults["cut"].get<bool>());
    }
    if (faults.value("silence", false)) {
        relay.silenceOpenConnections();
    }
}

void run(const CommandLine &options)
{
    Relay relay(static_cast<std::uint16_t>(options.number("--listen")),
                static_cast<std::uint16_t>(options.number("--to")));
    LoopbackServer control;
    control.Post("/control", [&relay](const httplib::Request &request, httplib::Response &answer) {
        applyFaults(relay, parseBody(request));
        answerJson(answer, { { "done", true } });
    });
    control.start(options.number("--control"));
    announceAndWait(options.number("--listen"),
                    std::chrono::seconds(options.number("--lifetime-s")));
}

} // namespace

int main(int argc, char **argv)
{
    const CommandLine options(usage, argc, argv);
    try {
        run(options);
    } catch (const std::exception &error) {
        std::cerr << "standin_link: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
