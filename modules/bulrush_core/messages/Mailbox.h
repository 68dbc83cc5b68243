#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace bulrush {

/**
    A bounded queue for messages from any thread to one receiver.

    The receiver removes all queued messages at once; the wake function signals its event loop that
    messages are queued.
*/
template<class Message>
class Mailbox
{
public:
    /** @param capacity the maximum number of queued messages
        @param wake     called on the sender's thread after a message was added to an empty mailbox
    */
    Mailbox(std::size_t capacity, std::function<void()> wake)
        : capacity(capacity)
        , wake(std::move(wake))
    {
    }

    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;

    /** Adds a message. Drops it and returns false when the mailbox is full. */
    bool send(Message message)
    {
        bool wasEmpty = false;
        {
            const std::scoped_lock lock(this->mutex);
            if (this->queued.size() >= this->capacity) {
                return false;
            }
            wasEmpty = this->queued.empty();
            this->queued.push_back(std::move(message));
        }
        if (wasEmpty && this->wake) {
            this->wake();
        }
        return true;
    }

    /** Removes and returns all queued messages in the order in which they were added. */
    std::vector<Message> takeAll()
    {
        const std::scoped_lock lock(this->mutex);
        return std::exchange(this->queued, {});
    }

private:
    const std::size_t capacity;
    const std::function<void()> wake;
    std::mutex mutex;
    std::vector<Message> queued;
};

} // namespace bulrush
