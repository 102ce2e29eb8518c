#ifndef SAVORYTRESTLE_BENCH_COST_SERIES_H
#define SAVORYTRESTLE_BENCH_COST_SERIES_H

/// @file
/// @brief Points and least-squares fits of what a part costs by its size.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <malloc.h>

namespace savorytrestle::bench {

/// @brief Processor time of the calling thread.
/// @return microseconds
inline double cpuMicros() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

/// @brief Bytes that the process has allocated.
/// @return bytes
inline double heapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// @brief Points of one quantity over a size.
class CostSeries {
public:
  /// @brief A series without points.
  /// @param name printed with each line
  /// @param rounds measurements of each point
  CostSeries(std::string name, int rounds)
      : Name(std::move(name)), Rounds(rounds) {}

  /// @brief Adds the median of the rounds and prints it with their spread.
  /// @param size the size
  /// @param measure gives the quantity
  void measurePoint(double size, const std::function<double()> &measure) {
    std::vector<double> values;
    for (int n = 0; n < Rounds; ++n)
      values.push_back(measure());
    std::sort(values.begin(), values.end());
    const double median = values[values.size() / 2];
    std::printf("point=%s size=%g value=%.4g low=%.4g high=%.4g\n",
                Name.c_str(), size, median, values.front(), values.back());
    Points.emplace_back(size, median);
  }

  /// @brief Prints slope, its standard error and the value at size 0.
  void printFit() const {
    const auto n = static_cast<double>(Points.size());
    double meanX = 0;
    double meanY = 0;
    for (const auto &[x, y] : Points) {
      meanX += x / n;
      meanY += y / n;
    }
    double sumXX = 0;
    double sumXY = 0;
    for (const auto &[x, y] : Points) {
      sumXX += (x - meanX) * (x - meanX);
      sumXY += (x - meanX) * (y - meanY);
    }
    const double slope = sumXY / sumXX;
    const double intercept = meanY - slope * meanX;
    double residualSum = 0;
    for (const auto &[x, y] : Points)
      residualSum += std::pow(y - intercept - slope * x, 2);
    std::printf("fit=%s slope=%.4g slope_error=%.2g at_zero=%.4g points=%g\n",
                Name.c_str(), slope, std::sqrt(residualSum / (n - 2) / sumXX),
                intercept, n);
  }

private:
  std::string Name;
  int Rounds;
  std::vector<std::pair<double, double>> Points;
};

/// @brief Processor time of one of many calls.
/// @param calls how many
/// @param call called with the number of each
/// @return microseconds a call
template <typename F> double cpuMicrosPerCall(int calls, F call) {
  const double start = cpuMicros();
  for (int n = 0; n < calls; ++n)
    call(n);
  return (cpuMicros() - start) / calls;
}

} // namespace savorytrestle::bench

#endif
