#pragma once

namespace bulrush::interference {

/**
    The weights of the three measures in policy decisions; published by the operators.

    Only their proportions have an effect. @see normalised
*/
struct PolicyWeights
{
    double tailLatency = 1.0;
    double throughput = 1.0;
    double evictions = 1.0;

    /** Returns whether no weight is negative and at least one is positive. */
    bool isValid() const
    {
        const bool negative = this->tailLatency < 0 || this->throughput < 0 || this->evictions < 0;
        return !negative && this->tailLatency + this->throughput + this->evictions > 0;
    }

    /** Returns the weights scaled to a sum of 1; equal weights if they are not valid. */
    PolicyWeights normalised() const
    {
        if (!this->isValid()) {
            return PolicyWeights {}.normalised();
        }
        const double sum = this->tailLatency + this->throughput + this->evictions;
        return { this->tailLatency / sum, this->throughput / sum, this->evictions / sum };
    }
};

} // namespace bulrush::interference
