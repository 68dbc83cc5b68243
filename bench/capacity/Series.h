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
    double residual = 0; ///< greatest distance of a point, as a share of the greatest value

    /** Returns the line's value at a size. */
    double at(double size) const { return this->intercept + this->slope * size; }
};

/** One quantity of one role, measured at several sizes. */
struct Series
{
    std::string role;
    std::string quantity;
    std::string unit;
    std::string size; ///< what was varied
    std::vector<Point> points;

    /** Returns the name that tells the series from all others. */
    std::string name() const { return this->role + "/" + this->quantity; }
};

/** Fits a line. @param points at least two, of different sizes */
Fit fitLine(const std::vector<Point> &points);

/** Adds a point to the series of a name, and the series itself where it is new. */
class SeriesSet
{
public:
    /** @param role the role that all series of this set belong to */
    explicit SeriesSet(std::string role)
        : role(std::move(role))
    {
    }

    void add(const std::string &quantity, const std::string &unit, const std::string &size,
             const Point &point);

    std::vector<Series> take() { return std::move(this->series); }

private:
    std::string role;
    std::vector<Series> series;
};

} // namespace bulrush::bench
