#pragma once

#include "bulrush_core/errors/Error.h"

#include <string>
#include <utility>

namespace bulrush {

/** A problem with one field of a JSON text. */
struct FieldProblem
{
    /** JSON pointer to the field; empty means the whole text. */
    std::string field;

    /** The value found, truncated for display. */
    std::string found;

    /** A description of the expected value. */
    std::string expected;

    /** Returns one line such as "/body/tasks: found 0, expected integer from 1 to 100000". */
    std::string text() const;
};

/** Thrown if a JSON text is invalid; names the field and the reason. */
class FieldError : public Error
{
public:
    explicit FieldError(FieldProblem problem)
        : Error("check fields", "", problem.text())
        , fieldProblem(std::move(problem))
    {
    }

    /** Returns the field, the value found and the expected value. */
    const FieldProblem &problem() const { return this->fieldProblem; }

private:
    FieldProblem fieldProblem;
};

} // namespace bulrush
