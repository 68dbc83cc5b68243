#pragma once

#include "soak/Judge.h"

#include <atomic>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace bulrush::soak {

/** Callers that submit jobs at any node, try again where no answer came, and ask for states. */
class SoakCallers
{
public:
    SoakCallers(std::vector<std::string> nodeAddresses, int port, Judge &judge, unsigned seed);
    ~SoakCallers();

    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    /** Submits no more jobs. */
    void stopSubmitting() { this->submitting = false; }

    /** Asks for the states of accepted jobs that are not finished. */
    void askUnfinished();

private:
    void run();
    void submit();
    void cancel(const std::string &job);
    void ask(const std::string &job);
    const std::string &anyNode();

    const std::vector<std::string> addresses;
    const int port;
    Judge &judge;
    std::mt19937_64 random;
    std::atomic<bool> submitting = true;
    std::thread thread;
};

} // namespace bulrush::soak
