#include "savorytrestle/core/placement/Evacuations.h"

#include <algorithm>
#include <iterator>

namespace savorytrestle::core {

Evacuations::Change Evacuations::replace(std::set<std::string> domains) {
  Change change;
  std::set_difference(domains.begin(), domains.end(), Domains.begin(),
                      Domains.end(),
                      std::inserter(change.Begun, change.Begun.end()));
  std::set_difference(Domains.begin(), Domains.end(), domains.begin(),
                      domains.end(),
                      std::inserter(change.Ended, change.Ended.end()));
  Domains = std::move(domains);
  return change;
}

} // namespace savorytrestle::core
