#include "bulrush_keys/bulrush_keys.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

constexpr UnixSeconds issued = 1'700'000'000;
const std::string keyText = "1700000000-a1";

std::string entry(KeyVerb verb, const std::string &arrival, int status = 0)
{
    return KeyEntry { issued, { { verb, keyText, arrival, status } } }.text();
}

KeyView viewOf(const KeyTable &table)
{
    return table.view(*IdempotencyKey::parse(keyText), issued);
}

} // namespace

Test(Keys, malformedKeysAreRefused)
{
    cr_assert(IdempotencyKey::parse(keyText));
    for (const char *text :
         { "", "-a", "17-", "x-a", "17-a b", "-17-a", "99999999999999999999-a" }) {
        cr_assert_not(IdempotencyKey::parse(text), "%s", text);
    }
    cr_assert_not(IdempotencyKey::parse("1-" + std::string(64, 'a')));
}

Test(Keys, firstClaimHoldsUntilReleased)
{
    KeyTable table({});
    table.apply(0, entry(KeyVerb::Claim, "n1-1"), issued);
    table.apply(1, entry(KeyVerb::Claim, "n2-1"), issued);
    cr_assert_eq(viewOf(table).arrival, "n1-1");
    table.apply(2, entry(KeyVerb::Release, "n2-1"), issued);
    cr_assert_eq(viewOf(table).arrival, "n1-1");
    table.apply(3, entry(KeyVerb::Release, "n1-1"), issued);
    cr_assert(viewOf(table).state == KeyState::Free);
    table.apply(4, entry(KeyVerb::Claim, "n1-1"), issued);
    cr_assert(viewOf(table).state == KeyState::Free, "a released arrival claimed again");
    table.apply(5, entry(KeyVerb::Claim, "n3-1"), issued);
    table.apply(6, entry(KeyVerb::Complete, "n3-1", 201), issued);
    table.apply(7, entry(KeyVerb::Release, "n3-1"), issued);
    cr_assert(viewOf(table).state == KeyState::Completed);
    cr_assert_eq(viewOf(table).status, 201);
}

Test(Keys, malformedEntriesChangeNothing)
{
    KeyTable table({});
    for (const char *text :
         { "", "{}", "[]", R"({"at":1,"keys":[["claim"]]})",
           R"({"at":1,"keys":[["steal","1-a","n"]]})", R"({"at":1,"keys":[["claim","1-a",7]]})" }) {
        table.apply(table.nextOffset(), text, issued);
    }
    cr_assert_eq(table.size(), 0U);
    cr_assert_eq(table.nextOffset(), 6U);
}
