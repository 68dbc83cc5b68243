#pragma once

#include <string>
#include <vector>

namespace bulrush::soak {

/** A record of another writer, which names no worker to use. */
struct OddRecord
{
    std::string topic;
    std::string key;
    std::string value;
};

/** Records that have the same part malformed. */
struct OddGroup
{
    std::string name;
    std::vector<OddRecord> records;
};

/** Returns a worker's entry that is valid but for one field, which has the text as its value.
    @param text JSON, which need not be valid; empty for a missing field */
std::string entryWith(int port, const std::string &field, const std::string &text);

/** Returns malformed entries of workers that would answer at a port, by the malformed part. */
std::vector<OddGroup> oddWorkerEntries(int port);

/** Returns malformed records in the scheduler's own topics. */
std::vector<OddGroup> oddOwnRecords();

/** Returns malformed records of the configuration. */
OddGroup oddConfigurations();

/** Returns malformed answers of a worker to a hold request. */
std::vector<std::string> oddReports();

/** Returns malformed bodies of a worker's rejection (409). */
std::vector<std::string> oddRejections();

/** Returns malformed bodies of submissions. */
std::vector<std::string> oddSubmissions();

/** Returns malformed contents of a settings file. */
std::vector<std::string> oddSettings();

} // namespace bulrush::soak
