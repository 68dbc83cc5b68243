#include "bulrush_keys/admission/KeyedRequest.h"

namespace bulrush {

void KeyedRequest::markClaiming()
{
    if (this->current == KeyedRequestState::Queued) {
        this->current = KeyedRequestState::Claiming;
    }
}

bool KeyedRequest::beginSend()
{
    if (this->current != KeyedRequestState::Claiming) {
        return false;
    }
    this->current = KeyedRequestState::Sending;
    return true;
}

bool KeyedRequest::close()
{
    const bool mayBeOnLog = this->current == KeyedRequestState::Claiming;
    if (this->current != KeyedRequestState::Sending) {
        this->current = KeyedRequestState::Closed;
    }
    return mayBeOnLog;
}

void KeyedRequest::endSend()
{
    this->current = KeyedRequestState::Closed;
}

} // namespace bulrush
