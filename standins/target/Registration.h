#pragma once

#include "standins/target/WorkerMessages.h"

#include <chrono>
#include <string>

namespace bulrush::standins {

/** The data that a target registers at the platform. */
struct RegistrationDetails
{
    std::string name;
    std::string dataCentre;
    std::string rack;
    int port = 0;
    Resources capacity;
};

/**
    Registers a target at the platform as a live worker and a live executor, retrying until the
    platform accepts both or the timeout expires.

    @returns whether both are registered
*/
bool registerAtPlatform(const RegistrationDetails &details, int platformPort,
                        std::chrono::milliseconds timeout);

} // namespace bulrush::standins
