#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace bulrush {

/**
    A bounded queue through which tasks on any thread send messages to one receiving task.

    The receiver takes all waiting messages at once; the wake function tells its loop that there
    are some.
*/
template<class Message>
class Mailbox
{
public:
    /** @param capacity the greatest number of waiting messages
        @param wake     called after a message arrived in an empty mailbox, on the sender's thread
    */
    Mailbox(std::size_t capacity, std::function<void()> wake)
        : capacity(capacity)
        , wake(std::move(wake))
    {
    }

    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;

    /** Adds a message. Returns false, and drops it, when the mailbox is full. */
    bool send(Message message)
    {
        bool wasEmpty = false;
        {
            const std::scoped_lock lock(this->mutex);
            if (this->waiting.size() >= this->capacity) {
                return false;
            }
            wasEmpty = this->waiting.empty();
            this->waiting.push_back(std::move(message));
        }
        if (wasEmpty && this->wake) {
            this->wake();
        }
        return true;
    }

    /** Takes all waiting messages in the order in which they arrived. */
    std::vector<Message> takeAll()
    {
        const std::scoped_lock lock(this->mutex);
        return std::exchange(this->waiting, {});
    }

private:
    const std::size_t capacity;
    const std::function<void()> wake;
    std::mutex mutex;
    std::vector<Message> waiting;
};

} // namespace bulrush
