#include "standins/common/ConnectionThreads.h"

#include <thread>
#include <utility>

namespace bulrush::standins {

void ConnectionThreads::enqueue(std::function<void()> fn)
{
    {
        const std::scoped_lock lock(this->mutex);
        ++this->running;
    }
    std::thread([this, task = std::move(fn)] { this->run(task); }).detach();
}

void ConnectionThreads::run(const std::function<void()> &fn)
{
    fn();
    const std::scoped_lock lock(this->mutex);
    --this->running;
    // Notifies under the lock, since the queue may be destroyed as soon as the lock is released.
    this->allEnded.notify_all();
}

void ConnectionThreads::shutdown()
{
    std::unique_lock lock(this->mutex);
    this->allEnded.wait(lock, [this] { return this->running == 0; });
}

} // namespace bulrush::standins
