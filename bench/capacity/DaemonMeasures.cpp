#include "DaemonMeasures.h"

#include "bulrush_core/errors/Error.h"

#include <fstream>

namespace bulrush::bench {

std::vector<Series> readDaemonMeasures(const std::string &path)
{
    std::ifstream file(path);
    SeriesSet set("daemon");
    double nodes = 0;
    double memory = 0;
    double micros = 0;
    while (file >> nodes >> memory >> micros) {
        set.add("resident memory", "B", "nodes of one data centre", { nodes, memory });
        set.add("idle processor time", "us/s", "nodes of one data centre", { nodes, micros });
    }
    std::vector<Series> series = set.take();
    if (series.empty() || series.front().points.size() < 2) {
        throw Error("read daemon measurements", path,
                    "the file holds fewer than two cluster sizes");
    }
    return series;
}

} // namespace bulrush::bench
