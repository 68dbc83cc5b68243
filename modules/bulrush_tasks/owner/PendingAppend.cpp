#include "bulrush_tasks/owner/PendingAppend.h"

namespace bulrush {

void PendingAppend::start(const std::string &stream, const std::string &recordId,
                          const std::string &payload)
{
    this->action = { stream, recordId, payload };
    this->active = true;
    this->sent = false;
}

std::optional<AppendAction> PendingAppend::poll(Instant now, Duration timeout)
{
    if (!this->active || (this->sent && now - this->sentAt < timeout)) {
        return std::nullopt;
    }
    this->sent = true;
    this->sentAt = now;
    return this->action;
}

} // namespace bulrush
