#pragma once

#include "standins/target/WorkerMessages.h"

#include <chrono>
#include <string>

namespace bulrush::standins {

/** What a target tells the platform about itself. */
struct RegistrationDetails
{
    std::string name;
    std::string dataCentre;
    std::string rack;
    int port = 0;
    Resources capacity;
};

/**
    Registers a target at the platform as a live worker and a live executor, trying again until the
    platform accepts both or the time is over.

    @returns whether both are registered
*/
bool registerAtPlatform(const RegistrationDetails &details, int platformPort,
                        std::chrono::milliseconds patience);

} // namespace bulrush::standins
