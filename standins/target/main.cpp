#include "standins/common/CommandLine.h"
#include "standins/target/Registration.h"
#include "standins/target/TargetServer.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <thread>

namespace {

using namespace bulrush::standins;

constexpr const char *usage = R"(Stand-in for a target: a worker and an executor in one.

Usage:
  standin_target --port=<port> --name=<name> --data-centre=<name> --rack=<name> [options]
  standin_target --help

Options:
  --port=<port>           Port on 127.0.0.1; 0 selects a free port.
  --name=<name>           Name of the VM.
  --data-centre=<name>    Data centre of the VM.
  --rack=<name>           Rack of the VM.
  --platform-port=<port>  Port of the platform to register at.
  --cpu-milli=<n>         Processors, in thousandths [default: 64000].
  --memory-mb=<n>         Memory in MB [default: 250000].
  --accelerators=<n>      Number of accelerators [default: 0].
  --slots=<n>             Number of requests served at a time [default: 8].
  --lifetime-s=<s>        The process ends after this time [default: 600].
)";

constexpr std::chrono::seconds registrationTimeout(60);

RegistrationDetails parseDetails(const CommandLine &options)
{
    return { options.text("--name"),
             options.text("--data-centre"),
             options.text("--rack"),
             0,
             { options.number("--cpu-milli"), options.number("--memory-mb"),
               options.number("--accelerators") } };
}

/** Registers on a separate thread, so that an unavailable platform delays nothing. */
void registerInBackground(const RegistrationDetails &details, int platformPort)
{
    std::thread([details, platformPort] {
        if (!registerAtPlatform(details, platformPort, registrationTimeout)) {
            std::cerr << "standin_target: the platform did not register " << details.name << '\n';
        }
    }).detach();
}

void run(const CommandLine &options)
{
    const std::chrono::seconds lifetime(options.number("--lifetime-s"));
    RegistrationDetails details = parseDetails(options);
    TargetServer target({ details.name, details.capacity, options.number("--slots") });
    details.port = target.start(options.number("--port"));
    if (options.has("--platform-port")) {
        registerInBackground(details, options.number("--platform-port"));
    }
    announceAndWait(details.port, lifetime);
}

} // namespace

int main(int argc, char **argv)
{
    const CommandLine options(usage, argc, argv);
    try {
        run(options);
    } catch (const std::exception &error) {
        std::cerr << "standin_target: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
