#pragma once

#include "standins/common/ProcessClock.h"

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace bulrush::review {

/** The record of a case: what was sent, answered and run, one line each, with the milliseconds
   since the start of the case. */
class Record
{
public:
    explicit Record(const std::string &path);

    void line(const std::string &text);

    /** Returns the milliseconds since the start of the case. */
    std::int64_t nowMs() const { return this->clock.nowMs() - this->startedAt; }

private:
    std::mutex mutex;
    std::ofstream file;
    standins::ProcessClock clock;
    const std::int64_t startedAt;
};

} // namespace bulrush::review
