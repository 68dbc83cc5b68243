#pragma once

#include <algorithm>
#include <cstdint>

namespace bulrush {

/**
    Makes the fencing tokens of an owner's commands to workers.

    Each token consists of the owner's fencing token and a count. So it is higher than all tokens of
    former owners and than all that the owner made before, and a worker that has seen it refuses
    what was sent to it earlier. The owner takes a new one for a worker each time that it does not
    know which process of the worker will take a command.
*/
class CommandTokens
{
public:
    /** Continues with the tokens of an owner.
        @param ownerToken not lower than that of any former owner */
    void begin(std::uint64_t ownerToken)
    {
        this->newest = std::max(this->newest, firstOf(ownerToken));
    }

    /** Returns the fencing token of the owner that made a token. */
    static std::uint64_t ownerOf(std::uint64_t token) { return token / tokensPerOwner; }

    /** Returns the lowest token of an owner. */
    static std::uint64_t firstOf(std::uint64_t ownerToken) { return ownerToken * tokensPerOwner; }

    /** Returns a token that is higher than all earlier ones. */
    std::uint64_t next() { return ++this->newest; }

private:
    /** With it, tokens of the first 9 million owners are whole numbers that JSON can represent. */
    static constexpr std::uint64_t tokensPerOwner = 1'000'000'000;

    std::uint64_t newest = 0;
};

} // namespace bulrush
