#include "bulrush_core/ids/Id.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace bulrush;

/* Identifiers compare a number made of their first bytes before they compare their names. Names
   that are prefixes of each other, or hold bytes above 127, would be ordered differently if that
   number were built wrongly, and containers ordered by them would lose entries.
 */
Test(NameId, isOrderedLikeItsName)
{
    std::mt19937 random(7);
    std::vector<std::string> names { "", std::string("\0", 1), "abcdefgh", "abcdefghi", "abcdefg" };
    for (int count = 0; count < 300; ++count) {
        std::string name;
        const std::size_t length = random() % 12;
        for (std::size_t index = 0; index < length; ++index) {
            name.push_back(static_cast<char>(random() % 3 == 0 ? random() % 256 : 'a'));
        }
        names.push_back(name);
    }
    for (const std::string &one : names) {
        for (const std::string &other : names) {
            const bool less = JobId(one) < JobId(other);
            cr_assert_eq(less, one < other, "%s %s", one.c_str(), other.c_str());
            cr_assert_eq(JobId(one) == JobId(other), one == other);
        }
    }
}
