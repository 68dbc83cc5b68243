#include "bulrush_core/bulrush_core.h"
#include "bulrush_node/front/Answers.h"
#include "bulrush_node/front/RequestHead.h"

#include <criterion/criterion.h>

#include <random>

using namespace bulrush;

namespace {

HttpRequest request(std::string_view method, std::string_view path)
{
    HttpRequest made;
    made.method = method;
    made.path = path;
    return made;
}

} // namespace

Test(RequestHead, readsServicePathAndDefaults)
{
    const RequestHead head = readRequestHead(request("GET", "/services/review/a/b"));
    cr_assert_eq(head.service.name(), "review");
    cr_assert_eq(head.targetPath, "/a/b");
    cr_assert(head.idempotent);
    cr_assert(head.interactive);
    cr_assert_not(readRequestHead(request("POST", "/services/review")).idempotent);
}

Test(RequestHead, rejectsInvalidHeadersAndNamesThem)
{
    const std::array<HttpHeader, 5> refused {
        HttpHeader { "bulrush-deadline-ms", "0" },  HttpHeader { "bulrush-deadline-ms", "5s" },
        HttpHeader { "bulrush-class", "urgent" },   HttpHeader { "bulrush-idempotent", "yes" },
        HttpHeader { "bulrush-first-try", "true" },
    };
    for (const HttpHeader &header : refused) {
        HttpRequest made = request("POST", "/services/review/x");
        made.headers.push_back(header);
        try {
            readRequestHead(made);
            cr_assert(false, "%s: %s was accepted", header.name.c_str(), header.value.c_str());
        } catch (const Error &error) {
            cr_assert_eq(error.peer(), header.name);
        }
    }
}

Test(RequestHead, randomPathsAndHeadersAreReadAsSentOrRejected)
{
    std::mt19937 random(20261203);
    for (int round = 0; round < 20'000; ++round) {
        std::string path = "/services/review/x";
        path[random() % path.size()] = static_cast<char>(random() % 256);
        HttpRequest made = request("POST", path);
        made.headers.push_back({ "bulrush-deadline-ms", std::to_string(random() % 1'000'000) });
        try {
            const RequestHead head = readRequestHead(made);
            cr_assert(path.starts_with("/services/" + head.service.name()));
            cr_assert_leq(head.deadline.count(), Duration(minutes(10)).count());
        } catch (const Error &error) {
            cr_assert_eq(error.operation(), "read request");
        }
    }
}

Test(Answers, refusalsStateTheRetryDelay)
{
    const HttpResponse response = answers::notRun("busy", milliseconds(1'250));
    cr_assert_eq(response.status, 503);
    cr_assert_eq(headerValue(response.headers, "retry-after"), "2");
    cr_assert_eq(headerValue(response.headers, "bulrush-retry-after-ms"), "1250");
    cr_assert_eq(headerValue(response.headers, "bulrush-outcome"), "not-run");
}
