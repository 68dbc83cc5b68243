#include "bulrush_steps/model/ServingConfig.h"

#include <algorithm>

namespace bulrush {

const QueuePolicy *ServingConfig::queueFor(std::string_view host, std::string_view path) const
{
    const QueuePolicy *best = nullptr;
    for (const QueuePolicy &queue : this->queues) {
        const bool matches = queue.host == host && path.starts_with(queue.prefix);
        if (matches && (best == nullptr || best->prefix.size() < queue.prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const QueuePolicy *ServingConfig::queue(std::string_view name) const
{
    const auto found =
            std::find_if(this->queues.begin(), this->queues.end(),
                         [name](const QueuePolicy &queue) { return queue.name == name; });
    return found == this->queues.end() ? nullptr : &*found;
}

const PoolPolicy *ServingConfig::pool(const ServiceId &service) const
{
    const auto found =
            std::find_if(this->pools.begin(), this->pools.end(),
                         [&service](const PoolPolicy &each) { return each.service == service; });
    return found == this->pools.end() ? nullptr : &*found;
}

} // namespace bulrush
