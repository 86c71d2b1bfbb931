#pragma once

/// Reproducible random numbers: a seed gives the same sequence on every machine.

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>

namespace fernlift::base
{

/// Random number generator that is passed to decision code. Not thread-safe.
class Random
{
public:
    explicit Random (std::uint64_t seed) : m_engine (seed) {}

    /// A uniformly distributed integer in [low, high]. Requires low <= high.
    std::int64_t uniformInteger (std::int64_t low, std::int64_t high)
    {
        return boost::random::uniform_int_distribution<std::int64_t> (low, high) (m_engine);
    }
    /// A uniformly distributed real number in [0, 1).
    double uniformReal() { return boost::random::uniform_01<double>() (m_engine); }
    /// Returns true with the given probability.
    bool chance (double probability) { return uniformReal() < probability; }
    /// A sample of the exponential distribution with the given mean.
    double exponential (double mean)
    {
        return boost::random::exponential_distribution<double> (1.0 / mean) (m_engine);
    }
    /// 64 random bits.
    std::uint64_t bits() { return m_engine(); }

private:
    boost::random::mt19937_64 m_engine;
};

}  // namespace fernlift::base
