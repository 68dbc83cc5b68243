#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace bulrush {

/**
    An error with the operation that failed and the peer that it concerned.

    The message is "operation [peer]: reason".
*/
class Error : public std::runtime_error
{
public:
    /** @param operation the operation that failed, such as "read settings"
        @param peer      the file, field, address or node that it concerned; may be empty
        @param reason    the cause of the failure
    */
    Error(std::string_view operation, std::string_view peer, std::string_view reason);

    /** Returns the operation that failed. */
    const std::string &operation() const { return this->operationText; }

    /** Returns the file, field, address or node that the operation concerned; may be empty. */
    const std::string &peer() const { return this->peerText; }

private:
    std::string operationText;
    std::string peerText;
};

} // namespace bulrush
