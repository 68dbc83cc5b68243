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
    double sumOfProducts = 0;
    double sumOfSquares = 0;
    for (const Point &point : points) {
        sumOfProducts += (point.size - meanSize) * (point.value - meanValue);
        sumOfSquares += (point.size - meanSize) * (point.size - meanSize);
    }
    Fit fit;
    fit.slope = sumOfProducts / sumOfSquares;
    fit.intercept = meanValue - fit.slope * meanSize;
    double maxValue = 0;
    double maxDistance = 0;
    for (const Point &point : points) {
        maxValue = std::max(maxValue, std::abs(point.value));
        maxDistance = std::max(maxDistance, std::abs(point.value - fit.at(point.size)));
    }
    fit.residual = maxValue > 0 ? maxDistance / maxValue : 0;
    return fit;
}

void SeriesSet::add(const std::string &quantity, const std::string &unit,
                    const std::string &sizeName, const Point &point)
{
    const auto found =
            std::find_if(this->series.begin(), this->series.end(),
                         [&quantity](const Series &each) { return each.quantity == quantity; });
    if (found != this->series.end()) {
        found->points.push_back(point);
        return;
    }
    this->series.push_back({ this->role, quantity, unit, sizeName, { point } });
}

} // namespace bulrush::bench
