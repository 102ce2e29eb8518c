#include "leaf/LeafRoom.h"

#include "leaf/LeafChoice.h"
#include "savorytrestle/core/HedgePolicy.h"

namespace savorytrestle::leaf {

core::Room roomAt(const Service &service, core::TimePoint now,
                  const core::HomeRegions &homes) {
  const core::Duration work = service.Work.mean();
  std::vector<core::Room> rooms;
  rooms.reserve(service.Leaves.size());
  for (const auto &leaf : service.Leaves)
    if (acceptsNow(*leaf, now) && homes.allows(leaf->region()))
      rooms.push_back(core::roomOf(leaf->score().load(now), work));
  return core::roomOfAny(rooms);
}

core::Room roomFor(const core::RouteRule &route,
                   const std::vector<Service *> &services, core::TimePoint now,
                   const core::HomeRegions &homes) {
  std::vector<core::Room> rooms;
  rooms.reserve(services.size());
  for (const Service *service : services)
    rooms.push_back(roomAt(*service, now, homes));
  return core::roomOfSome(rooms, route.sharded() ? core::minShards(route) : 1);
}

} // namespace savorytrestle::leaf
