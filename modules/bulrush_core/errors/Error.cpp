#include "bulrush_core/errors/Error.h"

namespace bulrush {

namespace {

std::string compose(std::string_view operation, std::string_view peer, std::string_view reason)
{
    std::string message(operation);
    if (!peer.empty()) {
        message.append(" [").append(peer).append("]");
    }
    return message.append(": ").append(reason);
}

} // namespace

Error::Error(std::string_view operation, std::string_view peer, std::string_view reason)
    : std::runtime_error(compose(operation, peer, reason))
    , operationText(operation)
    , peerText(peer)
{
}

} // namespace bulrush
