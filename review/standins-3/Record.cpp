#include "review/standins-3/Record.h"

namespace bulrush::review {

Record::Record(const std::string &path)
    : file(path)
    , startedAt(this->clock.nowMs())
{
}

void Record::line(const std::string &text)
{
    const std::scoped_lock lock(this->mutex);
    this->file << this->nowMs() << " ms: " << text << std::endl;
}

} // namespace bulrush::review
