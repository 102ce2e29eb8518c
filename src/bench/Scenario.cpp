#include "bench/Scenario.h"

namespace savorytrestle::bench {

using namespace std::chrono_literals;
using core::AnswerPolicy;

const std::vector<Deployment> &deployments() {
  static const std::vector<Deployment> all = {
      {"austria",
       12ms,
       1ms,
       AnswerPolicy::CoverageFirst,
       {{"preisportal", 10, 3, 5, 40, 6ms},
        {"meldestelle", 15, 3, 5, 40, 6ms},
        {"studio-konto", 40, 1, 2, 100, 1ms},
        {"berichte", 20, 1, 2, 100, 1ms}}},
      {"quebec",
       8ms,
       3ms,
       AnswerPolicy::TailFirst,
       {{"counter-desk", 10, 3, 3, 30, 6ms},
        {"order-books", 15, 3, 3, 30, 6ms},
        {"renewals", 20, 1, 3, 40, 1ms},
        {"route-planner", 10, 1, 3, 40, 1ms}}}};
  return all;
}

const std::vector<Scenario> &scenarios() {
  static const std::vector<Scenario> all = {
      {"calm"},
      {"calm-canary", Fault::None, 0, 0.35, true},
      {"stragglers-1", Fault::None, 0.01},
      {"stragglers-5", Fault::None, 0.05},
      {"replicas-lost", Fault::ReplicasLost},
      {"domain-lost", Fault::DomainLost},
      {"repartition", Fault::Repartition},
      {"overload", Fault::None, 0, 2.0},
      {"hosts-replaced", Fault::HostsReplaced},
      {"two-regions", Fault::DomainInOtherRegion}};
  return all;
}

} // namespace savorytrestle::bench
