#include "standins/target/RequestGate.h"

namespace bulrush::standins {

using std::chrono::steady_clock;

bool RequestGate::waitUntilOpen()
{
    std::unique_lock lock(this->mutex);
    while (!this->closing && (this->silent || steady_clock::now() < this->frozenUntil)) {
        if (this->silent) {
            this->changed.wait(lock);
        } else {
            // Copied, since wait_until reads its argument without the lock.
            const SteadyTime until = this->frozenUntil;
            this->changed.wait_until(lock, until);
        }
    }
    return !this->closing;
}

void RequestGate::sleep(std::chrono::milliseconds time)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, time, [this] { return this->closing; });
}

void RequestGate::freeze(std::chrono::milliseconds time)
{
    const std::scoped_lock lock(this->mutex);
    this->frozenUntil = steady_clock::now() + time;
    this->changed.notify_all();
}

void RequestGate::setSilent(bool on)
{
    const std::scoped_lock lock(this->mutex);
    this->silent = on;
    this->changed.notify_all();
}

void RequestGate::close()
{
    const std::scoped_lock lock(this->mutex);
    this->closing = true;
    this->changed.notify_all();
}

} // namespace bulrush::standins
