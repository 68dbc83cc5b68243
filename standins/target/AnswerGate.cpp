#include "standins/target/AnswerGate.h"

namespace bulrush::standins {

using std::chrono::steady_clock;

bool AnswerGate::pass()
{
    std::unique_lock lock(this->mutex);
    while (!this->closing && (this->silent || steady_clock::now() < this->frozenUntil)) {
        if (this->silent) {
            this->changed.wait(lock);
        } else {
            // A copy, since the wait reads its argument without the lock.
            const SteadyTime until = this->frozenUntil;
            this->changed.wait_until(lock, until);
        }
    }
    return !this->closing;
}

void AnswerGate::sleep(std::chrono::milliseconds time)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, time, [this] { return this->closing; });
}

void AnswerGate::freeze(std::chrono::milliseconds time)
{
    const std::scoped_lock lock(this->mutex);
    this->frozenUntil = steady_clock::now() + time;
    this->changed.notify_all();
}

void AnswerGate::setSilent(bool on)
{
    const std::scoped_lock lock(this->mutex);
    this->silent = on;
    this->changed.notify_all();
}

void AnswerGate::close()
{
    const std::scoped_lock lock(this->mutex);
    this->closing = true;
    this->changed.notify_all();
}

} // namespace bulrush::standins
