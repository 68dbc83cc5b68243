#include "Series.h"

#include <algorithm>
#include <cmath>

namespace bulrush::bench {

Fit fitLine(const std::vector<Point> &points)
{
    double sumSize = 0;
    double sumValue = 0;
    for (const Point &point : points) {
        sumSize += point.size;
        sumValue += point.value;
    }
    const double count = static_cast<double>(points.size());
    const double meanSize = sumSize / count;
    const double meanValue = sumValue / count;
    double both = 0;
    double square = 0;
    for (const Point &point : points) {
        both += (point.size - meanSize) * (point.value - meanValue);
        square += (point.size - meanSize) * (point.size - meanSize);
    }
    Fit fit;
    fit.slope = both / square;
    fit.intercept = meanValue - fit.slope * meanSize;
    double greatest = 0;
    double farthest = 0;
    for (const Point &point : points) {
        greatest = std::max(greatest, std::abs(point.value));
        farthest = std::max(farthest, std::abs(point.value - fit.at(point.size)));
    }
    fit.residual = greatest > 0 ? farthest / greatest : 0;
    return fit;
}

void SeriesSet::add(const std::string &quantity, const std::string &unit, const std::string &size,
                    const Point &point)
{
    const auto found =
            std::find_if(this->series.begin(), this->series.end(),
                         [&quantity](const Series &each) { return each.quantity == quantity; });
    if (found != this->series.end()) {
        found->points.push_back(point);
        return;
    }
    this->series.push_back({ this->role, quantity, unit, size, { point } });
}

} // namespace bulrush::bench
