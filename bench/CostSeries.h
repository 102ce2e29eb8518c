#ifndef SAVORYTRESTLE_BENCH_COST_SERIES_H
#define SAVORYTRESTLE_BENCH_COST_SERIES_H

/// @file
/// @brief Measured costs over a size and their least-squares fit.

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

/// @brief Processor time used by the calling thread.
/// @return the time in microseconds
inline double cpuMicros() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

/// @brief Heap memory that the process has allocated.
/// @return the number of bytes
inline double heapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// @brief Measured points of one quantity over a size, such as processor time
/// by number of shards.
class CostSeries {
public:
  /// @brief Creates a series without points.
  /// @param name name of the series in each printed line
  /// @param rounds number of measurements of each point
  CostSeries(std::string name, int rounds)
      : Name(std::move(name)), Rounds(rounds) {}

  /// @brief Measures a point in each round, adds the median and prints it with
  /// the lowest and highest value.
  /// @param size the size
  /// @param measure measures the quantity once
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

  /// @brief Prints the fitted slope, its standard error and the value at size
  /// 0.
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

/// @brief Mean processor time of a call.
/// @param calls number of calls
/// @param call called with 0 to calls - 1
/// @return microseconds per call
template <typename F> double cpuMicrosPerCall(int calls, F call) {
  const double start = cpuMicros();
  for (int n = 0; n < calls; ++n)
    call(n);
  return (cpuMicros() - start) / calls;
}

} // namespace savorytrestle::bench

#endif
