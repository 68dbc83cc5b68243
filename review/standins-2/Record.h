#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Milliseconds = std::chrono::milliseconds;

/** Writes what was sent, answered and run, with the time since the start of the case. */
class Record
{
public:
    explicit Record(const std::string &path)
        : file(path)
        , startedAt(std::chrono::steady_clock::now())
    {
    }

    /** Returns the milliseconds since the start of the case. */
    std::int64_t now() const
    {
        const auto elapsed = std::chrono::steady_clock::now() - this->startedAt;
        return std::chrono::duration_cast<Milliseconds>(elapsed).count();
    }

    void write(const std::string &line)
    {
        const std::scoped_lock lock(this->mutex);
        this->file << this->now() << " ms  " << line << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    const std::chrono::steady_clock::time_point startedAt;
};

} // namespace review
