#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace bulrush {

/**
    An error that says at which step it arose and which peer was on the other side.

    The message reads "step [peer]: reason".
*/
class Error : public std::runtime_error
{
public:
    /** @param step   what was being done, such as "read settings"
        @param peer   the file, address or node on the other side; may be empty
        @param reason what went wrong
    */
    Error(std::string_view step, std::string_view peer, std::string_view reason);

    /** Returns what was being done. */
    const std::string &step() const { return this->stepText; }

    /** Returns the file, address or node on the other side. */
    const std::string &peer() const { return this->peerText; }

private:
    std::string stepText;
    std::string peerText;
};

} // namespace bulrush
