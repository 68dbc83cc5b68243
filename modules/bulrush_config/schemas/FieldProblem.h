#pragma once

#include "bulrush_core/errors/Error.h"

#include <string>
#include <utility>

namespace bulrush {

/** What is wrong with one field of a JSON text. */
struct FieldProblem
{
    /** JSON pointer to the field; empty means the whole text. */
    std::string field;

    /** What stands there, shortened. */
    std::string found;

    /** What should stand there. */
    std::string expected;

    /** Returns one line such as "/body/tasks: found 0, expected integer from 1 to 100000". */
    std::string text() const;
};

/** Thrown where a JSON text does not fit; says which field and why. */
class FieldError : public Error
{
public:
    explicit FieldError(FieldProblem problem)
        : Error("check fields", "", problem.text())
        , fieldProblem(std::move(problem))
    {
    }

    /** Returns what is wrong. */
    const FieldProblem &problem() const { return this->fieldProblem; }

private:
    FieldProblem fieldProblem;
};

} // namespace bulrush
