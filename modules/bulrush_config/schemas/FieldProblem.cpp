#include "bulrush_config/schemas/FieldProblem.h"

namespace bulrush {

std::string FieldProblem::text() const
{
    const std::string where = this->field.empty() ? "the whole text" : this->field;
    return where + ": found " + this->found + ", expected " + this->expected;
}

} // namespace bulrush
