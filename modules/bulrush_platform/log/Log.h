#pragma once

#include "bulrush_core/log/LogTypes.h"
#include "bulrush_core/time/Clock.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/** The platform's append-only log. */
class Log
{
public:
    /** Called with the record's offset; empty if it is unknown whether the record was appended. */
    using AppendCallback = std::function<void(std::optional<LogOffset>)>;

    /** Called with the page that was read; empty if the read failed. */
    using ReadCallback = std::function<void(std::optional<LogPage>)>;

    Log() = default;
    virtual ~Log() = default;
    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;

    /** Appends one record to a stream. */
    virtual void append(std::string_view stream, std::string body, AppendCallback callback) = 0;

    /** Reads records from an offset. @param wait how long to wait for a record if there is none */
    virtual void read(std::string_view stream, LogOffset from, Duration wait,
                      ReadCallback callback) = 0;
};

} // namespace bulrush
