#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bulrush::bench {

/** One measured value at one size. */
struct Point
{
    double size = 0;
    double value = 0;
};

/** A least-squares line through points. */
struct Fit
{
    double intercept = 0;
    double slope = 0;
    double residual = 0; ///< maximum deviation of a point, as a share of the maximum value

    /** Returns the line's value at a size. */
    double at(double size) const { return this->intercept + this->slope * size; }
};

/** One quantity of one role, measured at several sizes. */
struct Series
{
    std::string role;
    std::string quantity;
    std::string unit;
    std::string sizeName; ///< the parameter that was varied
    std::vector<Point> points;

    /** Returns the unique name of the series. */
    std::string name() const { return this->role + "/" + this->quantity; }
};

/** Fits a line by least squares. @param points at least two, of different sizes */
Fit fitLine(const std::vector<Point> &points);

/** Collects the series of one role. */
class SeriesSet
{
public:
    /** @param role role of all series in this set */
    explicit SeriesSet(std::string role)
        : role(std::move(role))
    {
    }

    /** Adds a point to the series of a quantity. Creates the series if it does not exist. */
    void add(const std::string &quantity, const std::string &unit, const std::string &sizeName,
             const Point &point);

    std::vector<Series> take() { return std::move(this->series); }

private:
    std::string role;
    std::vector<Series> series;
};

} // namespace bulrush::bench
