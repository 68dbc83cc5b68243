#include "soak/OddRecords.h"

#include <utility>

namespace bulrush::soak {

namespace {

constexpr std::size_t nestedBrackets = 150'000;
constexpr std::size_t longTextBytes = 300'000;
constexpr std::size_t manyLabels = 5000;

const char *const workersTopic = "keyed.servers";
const char *const jobsTopic = "keyed.jobs";
const char *const progressTopic = "keyed.progress";

std::string nestedArrays()
{
    return std::string(nestedBrackets, '[') + std::string(nestedBrackets, ']');
}

std::string nestedObjects()
{
    std::string text;
    for (std::size_t depth = 0; depth < nestedBrackets; ++depth) {
        text += R"({"a":)";
    }
    return text + "1" + std::string(nestedBrackets, '}');
}

std::string longText()
{
    return '"' + std::string(longTextBytes, 'x') + '"';
}

std::string labelList()
{
    std::string text = R"(["a")";
    for (std::size_t count = 1; count < manyLabels; ++count) {
        text += R"(,"a")";
    }
    return text + "]";
}

using Field = std::pair<std::string, std::string>;

std::string joined(const std::vector<Field> &fields)
{
    std::string text = "{";
    for (const auto &[name, value] : fields) {
        if (!value.empty()) {
            text += text.size() > 1 ? ",\"" : "\"";
            text += name;
            text += "\":";
            text += value;
        }
    }
    return text + "}";
}

std::vector<Field> validEntry(int port)
{
    return { { "service", R"("review")" },
             { "address", R"("127.0.0.1:)" + std::to_string(port) + '"' },
             { "zone", R"("z1")" },
             { "version", R"("v1")" },
             { "slots", "8" },
             { "state", R"("ready")" },
             { "coldLeftMs", "0" },
             { "sequence", "4" },
             { "clockMs", "482113" },
             { "born", "1" },
             { "capacity", R"({"cpu":8000,"memMb":32000,"gpu":0})" },
             { "labels", R"(["a","r1-1"])" } };
}

struct FieldTexts
{
    std::string field;
    std::vector<std::string> texts;
};

std::vector<std::string> addresses(int port)
{
    std::vector<std::string> texts {
        "", "7", "null", R"("")", R"("127.0.0.1")", R"(":1")", longText(), nestedArrays()
    };
    for (const char *badPort :
         { "0", "65536", "70000", "-1", "99999999999999999999", "1e3", "x", "" }) {
        texts.push_back(R"("127.0.0.1:)" + std::string(badPort) + '"');
    }
    const std::string goodPort = ":" + std::to_string(port) + '"';
    for (const char *host :
         { "localhost", "no.such.host.example", "127.0.0.1\\r\\nx: y", "127.0.0.1\\u0000", "127.1",
           "0x7f.0.0.1", " 127.0.0.1", "a b", "300.0.0.1" }) {
        texts.push_back('"' + std::string(host) + goodPort);
    }
    texts.push_back('"' + std::string(longTextBytes, 'h') + goodPort);
    return texts;
}

std::vector<std::string> capacities()
{
    std::vector<std::string> texts { "", "7", "null", "[]", nestedObjects() };
    for (const std::string &amount :
         { std::string("9223372036854775807"), std::string("9223372036854775808"),
           std::string("18446744073709551615"), std::string("1e400"), std::string("1e18"),
           std::string("-1"), std::string("0.5"), std::string(R"("8000")"), std::string("{}"),
           std::string("4000000000000"), nestedArrays() }) {
        texts.push_back(R"({"cpu":)" + amount + R"(,"memMb":32000})");
        texts.push_back(R"({"cpu":8000,"memMb":)" + amount + "}");
        texts.push_back(R"({"cpu":8000,"memMb":32000,"gpu":)" + amount + "}");
    }
    return texts;
}

std::vector<FieldTexts> oddFields(int port)
{
    const std::vector<std::string> notWhole {
        "-1", "18446744073709551616", "1e400", "0.5", R"("1")", "null", "[]", "{}", nestedArrays()
    };
    std::vector<std::string> notDuration = notWhole;
    std::erase(notDuration, "0.5");
    std::erase(notDuration, "18446744073709551616");
    std::vector<std::string> bornTexts = notWhole;
    bornTexts.insert(bornTexts.end(), { "9223372036854775807", "9223372036854775808" });
    const std::vector<std::string> notText { "",     "7",  "null",     R"("")",        "[]",
                                             "true", "{}", longText(), nestedObjects() };
    std::vector<std::string> stateTexts = notText;
    stateTexts.insert(stateTexts.end(), { R"("sleeping")", R"("READY")" });
    const std::vector<std::string> versionTexts { "null", "[]", "{}", nestedArrays(), longText() };
    const std::vector<std::string> labelTexts { "",
                                                "7",
                                                "null",
                                                R"("a")",
                                                "{}",
                                                "[7]",
                                                R"([["a"]])",
                                                "[null]",
                                                labelList(),
                                                "[" + longText() + "]",
                                                nestedArrays() };
    return { { "service", notText },        { "address", addresses(port) },
             { "zone", notText },           { "version", versionTexts },
             { "slots", notWhole },         { "state", stateTexts },
             { "coldLeftMs", notDuration }, { "sequence", notWhole },
             { "born", bornTexts },         { "capacity", capacities() },
             { "labels", labelTexts },      { "remainingMs", notDuration } };
}

OddGroup oddKeys(int port)
{
    OddGroup group { "the key", {} };
    for (const std::string &key :
         { std::string("\xff\xfe"), std::string("a\xc3"), std::string("a\r\nx-added: 1"),
           std::string("a b"), std::string("a\0b", 3), std::string("\x01"), std::string(),
           std::string("\xed\xa0\x80") }) {
        group.records.push_back({ workersTopic, key, joined(validEntry(port)) });
    }
    return group;
}

/** Returns long entries, with each of which a page of the list ends, under keys that mean something
    else in a query. */
OddGroup oddPageEnds()
{
    constexpr std::size_t pageBytes = 1'100'000;
    OddGroup group { "the key with which a page ends", {} };
    for (const char *key : { "m&dependsOn=a", "m+a", "m%2B", "m#a", "m?a=b" }) {
        group.records.push_back({ workersTopic, key, std::string(pageBytes, 'x') });
    }
    return group;
}

OddGroup oddValues()
{
    OddGroup group { "the whole value", {} };
    const std::string texts[] = { nestedArrays(),
                                  nestedObjects(),
                                  std::string(nestedBrackets, '['),
                                  longText(),
                                  "7",
                                  "1e400",
                                  "null",
                                  "[]",
                                  "{}",
                                  "{",
                                  "not JSON",
                                  " ",
                                  std::string("\xff\xfe\x00\x80", 4),
                                  std::string(longTextBytes, '\0'),
                                  std::string("{\"service\":\"\xc3\x28\"}") };
    for (const std::string &text : texts) {
        group.records.push_back(
                { workersTopic, "value-" + std::to_string(group.records.size()), text });
    }
    return group;
}

/** Returns the record of an accepted job. @param dependsOn of its second step
    @param time its estimates and times */
std::string storedJob(const std::string &job, const std::string &dependsOn, const std::string &time)
{
    const std::string step =
            R"({"tasks":1,"cpuMilli":1,"memoryMb":1,"estimateMs":)" + time + R"(,"dependsOn":)";
    return R"({"schema":1,"job":")" + job
            + R"(","queue":"q","service":"review","payload":"","occurrences":1,"timed":true,)"
            + R"("priority":0,"maxAttempts":1,"slackFactor":1,"acceptedAtMs":0,"firstDueMs":)"
            + time + R"(,"intervalMs":)" + time + R"(,"latencyTargetMs":)" + time + R"(,"steps":[)"
            + step + "[]}," + step + dependsOn + "}]}";
}

} // namespace

std::string entryWith(int port, const std::string &field, const std::string &text)
{
    std::vector<Field> fields = validEntry(port);
    std::erase_if(fields, [&field](const Field &each) { return each.first == field; });
    fields.emplace_back(field, text);
    return joined(fields);
}

std::vector<OddGroup> oddWorkerEntries(int port)
{
    std::vector<OddGroup> groups { oddKeys(port), oddPageEnds(), oddValues() };
    for (const FieldTexts &odd : oddFields(port)) {
        OddGroup group { "the field " + odd.field, {} };
        for (const std::string &text : odd.texts) {
            const std::string key = odd.field + "-" + std::to_string(group.records.size());
            group.records.push_back({ workersTopic, key, entryWith(port, odd.field, text) });
        }
        groups.push_back(std::move(group));
    }
    return groups;
}

std::vector<OddGroup> oddOwnRecords()
{
    OddGroup jobs { "the jobs topic", {} };
    for (const char *key :
         { "job/00000000000000aa", "job/", "cancelled/x", "owner/1", "resignation/1", "\xff" }) {
        for (const std::string &value :
             { nestedArrays(), nestedObjects(), std::string("{"), std::string("\xff"),
               std::string(R"({"schema":1})"), std::string(R"({"schema":1e300})"),
               std::string(R"({"schema":1,"fencingToken":"x"})") }) {
            jobs.records.push_back({ jobsTopic, key, value });
        }
    }
    jobs.records.push_back(
            { jobsTopic, "job/00000000000000ab", storedJob("00000000000000ac", "[]", "0") });
    jobs.records.push_back(
            { jobsTopic, "job/00000000000000ad", storedJob("00000000000000ad", "[3]", "0") });
    jobs.records.push_back({ jobsTopic, "job/00000000000000ae",
                             storedJob("00000000000000ae", "[]", "9223372036854775807") });
    jobs.records.push_back({ jobsTopic, "resignation/2",
                             R"({"schema":1,"fencingToken":2,"unsettled":[[1,9223372036854775807],)"
                             R"([2,-9223372036854775807]]})" });
    OddGroup progress { "the progress topic", {} };
    for (const char *key : { "roster", "job/00000000000000ac" }) {
        for (const std::string &value :
             { nestedArrays(), nestedObjects(), std::string("{"), std::string(R"({"schema":1})"),
               std::string(R"({"schema":1,"succeeded":false,"failed":false,"tasks":[[1e9]]})"),
               R"({"schema":1,"workers":[],"formerOwners":)" + nestedArrays() + "}" }) {
            progress.records.push_back({ progressTopic, key, value });
        }
    }
    return { jobs, progress };
}

OddGroup oddConfigurations()
{
    OddGroup group { "the configuration", {} };
    for (const std::string &value :
         { nestedArrays(), nestedObjects(), std::string("{"), std::string("7"),
           std::string(R"({"version":18446744073709551616,"routes":[],"services":[]})"),
           std::string(R"({"version":-1,"routes":[],"services":[]})"),
           R"({"version":9,"routes":)" + nestedArrays() + R"(,"services":[]})",
           std::string(R"({"version":9,"routes":[{"name":"q","host":"h","pathPrefix":"/q/",)"
                       R"("service":"review","timeoutMs":9223372036854775807}],"services":[]})"),
           std::string(R"({"version":9,"routes":[{"name":"q","host":"h","pathPrefix":"/q/",)"
                       R"("service":"review","slackFactor":-1e308}],"services":[]})"),
           std::string(R"({"version":9,"routes":[{"name":"q","host":"h","pathPrefix":"/q/",)"
                       R"("service":"review","targetLatencyMs":-5}],"services":[]})") }) {
        group.records.push_back({ "keyed.op", "config", value });
    }
    return group;
}

std::vector<std::string> oddReports()
{
    std::vector<std::string> reports { nestedArrays(),
                                       nestedObjects(),
                                       std::string(nestedBrackets, '['),
                                       longText(),
                                       "",
                                       "7",
                                       "\xff",
                                       R"({"clockMs":1,"born":1,"x":)" + nestedArrays() + "}",
                                       R"({"clockMs":1,"born":1,"running":)" + nestedArrays()
                                               + "}" };
    for (const char *number : { "9223372036854775807", "-9223372036854775808",
                                "18446744073709551615", "1e400", "1e300" }) {
        const std::string text = number;
        reports.push_back(R"({"born":1,"running":[],"finished":[],"clockMs":)" + text + "}");
        reports.push_back(R"({"clockMs":1,"running":[],"finished":[],"born":)" + text + "}");
        reports.push_back(R"({"clockMs":1,"born":1,"finished":[],"running":[["a.0.0.0",)" + text
                          + R"(,"",1,1]]})");
        reports.push_back(R"({"clockMs":1,"born":1,"finished":[],"running":[["a.0.0.0",1,"",)"
                          + text + ",1]]}");
        reports.push_back(R"({"clockMs":1,"born":1,"finished":[],"running":[["a.0.0.0",1,"",1,)"
                          + text + "]]}");
        reports.push_back(R"({"clockMs":1,"born":1,"running":[],"finished":[[)" + text
                          + R"(,"a.0.0.0",1,"done",""]]})");
    }
    reports.emplace_back(
            R"({"clockMs":1,"born":1,"running":[["a.4294967295.4294967295.4294967295",)"
            R"(1,"",1,1]],"finished":[]})");
    return reports;
}

std::vector<std::string> oddRejections()
{
    return { R"({"clockMs":1,"reason":7})",
             R"({"clockMs":1,"reason":null})",
             R"({"clockMs":1,"reason":)" + nestedArrays() + "}",
             nestedObjects(),
             "",
             "\xff",
             R"({"clockMs":18446744073709551615,"reason":"x"})" };
}

std::vector<std::string> oddSubmissions()
{
    std::vector<std::string> bodies { nestedArrays(),
                                      nestedObjects(),
                                      longText(),
                                      "",
                                      "7",
                                      "\xff",
                                      R"({"spec":"x","phases":)" + nestedArrays() + "}" };
    for (const char *field : { "count", "cpu", "memMb", "gpu", "estimateMs", "targetMs",
                               "antiAffinity", "maxUnavailable" }) {
        for (const char *number : { "9223372036854775807", "18446744073709551615", "1e400",
                                    "-9223372036854775808", "[[]]" }) {
            bodies.push_back(R"({"spec":"x","phases":[{")" + std::string(field) + R"(":)" + number
                             + "}]}");
        }
    }
    for (const char *field : { "repeatCount", "startAtMs", "intervalMs" }) {
        for (const char *number : { "9223372036854775807", "-9223372036854775808" }) {
            const bool isCount = std::string(field) == "repeatCount";
            bodies.push_back(R"({"spec":"x","phases":[{"count":1,"cpu":1}],)"
                             + std::string(isCount ? "" : R"("repeatCount":3,)") + '"' + field
                             + R"(":)" + number + "}");
        }
    }
    return bodies;
}

std::vector<std::string> oddSettings()
{
    return { nestedArrays(),
             nestedObjects(),
             std::string(nestedBrackets, '['),
             longText(),
             "",
             "7",
             "\xff",
             "node: [",
             std::string("a\0b", 3) };
}

} // namespace bulrush::soak
