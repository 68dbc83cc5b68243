#include "bulrush_keys/gate/KeyGate.h"

namespace bulrush {

void KeyGate::ask()
{
    if (this->current == GateState::Queued) {
        this->current = GateState::Asked;
    }
}

bool KeyGate::takeSend()
{
    if (this->current != GateState::Asked) {
        return false;
    }
    this->current = GateState::Sending;
    return true;
}

bool KeyGate::close()
{
    const bool mayBeOnLog = this->current == GateState::Asked;
    if (this->current != GateState::Sending) {
        this->current = GateState::Closed;
    }
    return mayBeOnLog;
}

void KeyGate::endSend()
{
    this->current = GateState::Closed;
}

} // namespace bulrush
