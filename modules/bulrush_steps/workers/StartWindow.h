#pragma once

#include <cstdint>

namespace bulrush {

/**
    Limits the unanswered start requests of one kind to what gets answered in time.

    Starts that nobody answers take the processor time that the others need, so with a fixed limit
   an overloaded owner sends ever more starts in vain. Each unanswered start lowers the limit, each
    answered one raises it a little.
*/
class StartWindow
{
public:
    explicit StartWindow(std::uint32_t maxOpen)
        : maxOpenStarts(maxOpen)
        , limit(maxOpen)
    {
    }

    /** Returns whether another start may be sent.
        @param unsent the starts that are to be sent before it */
    bool isOpen(std::uint32_t unsent = 0) const
    {
        return this->openStarts + unsent < static_cast<std::uint32_t>(this->limit);
    }

    std::uint32_t open() const { return this->openStarts; }

    void started() { ++this->openStarts; }

    /** Notes the outcome of a start. @param inTime whether it was answered */
    void finished(bool inTime);

    /** Forgets all open starts and raises the limit to its maximum. */
    void reset();

private:
    std::uint32_t maxOpenStarts;
    std::uint32_t openStarts = 0;
    double limit;
};

} // namespace bulrush
