#include "support/Metrics.h"

#include <prometheus/text_serializer.h>

namespace savorytrestle::support {

namespace {

const prometheus::Histogram::BucketBoundaries LatencyBounds = {
    0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.097,
    0.15,  0.25,  0.5,  1,    2,    5,    10};

auto &counter(prometheus::Registry &registry, const char *name,
              const char *help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

} // namespace

Metrics::Metrics()
    : Requests(counter(Registry, "savorytrestle_requests_total",
                       "Caller requests by outcome.")),
      Latency(prometheus::BuildHistogram()
                  .Name("savorytrestle_request_seconds")
                  .Help("Time from a caller request to its answer.")
                  .Register(Registry)),
      ShardsTotal(counter(Registry, "savorytrestle_shards_total",
                          "Shards of the snapshots searched.")),
      ShardsAnswered(counter(Registry, "savorytrestle_shards_answered_total",
                             "Shards whose rows were in the answers.")),
      Attempts(counter(Registry, "savorytrestle_leaf_attempts_total",
                       "Attempts on leaves by result.")),
      ExtraAttempts(counter(Registry, "savorytrestle_extra_attempts_total",
                            "Hedges, retries and restarts.")),
      Admission(counter(Registry, "savorytrestle_admission_total",
                        "Requests held or refused by the leaves' load.")) {}

void Metrics::countRequest(const std::string &workspace,
                           const std::string &route, const std::string &outcome,
                           std::chrono::nanoseconds latency) {
  Requests
      .Add({{"workspace", workspace}, {"route", route}, {"outcome", outcome}})
      .Increment();
  Latency.Add({{"workspace", workspace}, {"route", route}}, LatencyBounds)
      .Observe(std::chrono::duration<double>(latency).count());
}

void Metrics::countShards(const std::string &workspace, std::uint32_t total,
                          std::uint32_t answered) {
  ShardsTotal.Add({{"workspace", workspace}}).Increment(total);
  ShardsAnswered.Add({{"workspace", workspace}}).Increment(answered);
}

void Metrics::countAttempt(const std::string &result) {
  Attempts.Add({{"result", result}}).Increment();
}

void Metrics::countExtraAttempts(const std::string &workspace,
                                 std::uint32_t count) {
  ExtraAttempts.Add({{"workspace", workspace}}).Increment(count);
}

void Metrics::countAdmission(const std::string &route,
                             const std::string &decision) {
  Admission.Add({{"route", route}, {"decision", decision}}).Increment();
}

void Metrics::setGauge(const std::string &name, const std::string &help,
                       double value) {
  prometheus::BuildGauge().Name(name).Help(help).Register(Registry).Add({}).Set(
      value);
}

void Metrics::setWorkspaceGauges(const std::string &name,
                                 const std::string &help,
                                 const std::map<std::string, double> &values) {
  const std::lock_guard lock(WorkspaceGaugesMutex);
  auto &gauges = WorkspaceGauges[name];
  if (gauges.empty() && values.empty())
    return;
  auto &family =
      prometheus::BuildGauge().Name(name).Help(help).Register(Registry);
  for (prometheus::Gauge *gauge : gauges)
    family.Remove(gauge);
  gauges.clear();
  for (const auto &[workspace, value] : values) {
    auto &gauge = family.Add({{"workspace", workspace}});
    gauge.Set(value);
    gauges.push_back(&gauge);
  }
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace savorytrestle::support
