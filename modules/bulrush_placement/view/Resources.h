#pragma once

#include <cstdint>

namespace bulrush::placement {

/** Amounts of processors, memory and accelerators, as capacity or as demand. */
struct Resources
{
    std::int64_t cpuMilli = 0; ///< thousandths of a processor
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    /** Returns whether no component exceeds the available amount. */
    bool fitsIn(const Resources &available) const
    {
        return this->cpuMilli <= available.cpuMilli && this->memoryMb <= available.memoryMb
                && this->accelerators <= available.accelerators;
    }

    /** Returns whether no component is negative. */
    bool isValid() const
    {
        return this->cpuMilli >= 0 && this->memoryMb >= 0 && this->accelerators >= 0;
    }

    Resources &operator+=(const Resources &other)
    {
        this->cpuMilli += other.cpuMilli;
        this->memoryMb += other.memoryMb;
        this->accelerators += other.accelerators;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        this->cpuMilli -= other.cpuMilli;
        this->memoryMb -= other.memoryMb;
        this->accelerators -= other.accelerators;
        return *this;
    }

    friend Resources operator+(Resources left, const Resources &right) { return left += right; }
    friend Resources operator-(Resources left, const Resources &right) { return left -= right; }
    bool operator==(const Resources &) const = default;
};

} // namespace bulrush::placement
