#ifndef SAVORYTRESTLE_SOAK_CUT_HOST_H
#define SAVORYTRESTLE_SOAK_CUT_HOST_H

/// @file
/// @brief A host with links of its own to all leaves, which fail together.

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "FaultyLink.h"
#include "NodeDeployment.h"
#include "support/SocketOptions.h"

namespace savorytrestle::soak {

/// @brief Reads a copy of the store in which leaves have the addresses of its
/// own links. All functions but the constructor run on the stand-ins' thread.
class CutHost {
public:
  /// @brief Starts the host; no other host gets data of the store from it.
  explicit CutHost(tests::NodeDeployment &cluster, const nlohmann::json &config)
      : Cluster(cluster), Store(cluster.Io) {
    const auto address =
        "127.0.0.1:" + std::to_string(tests::nonEphemeralPort());
    Cluster.runOnStandInThread([&] {
      Opened = Store.open(address).has_value();
      for (const auto &leaf : Cluster.Leaves) {
        boost::asio::ip::tcp::endpoint server;
        support::parseEndpoint(leaf->address(), server);
        Links.push_back(std::make_unique<FaultyLink>(
            Cluster.Io, server, tests::nonEphemeralPort()));
      }
      putLeaves();
      putConfig(config);
      for (const auto &node : Cluster.Nodes)
        Store.put("hosts/" + node->Id, entryOf(*node));
      return 0;
    });
    Node = &Cluster.addNode(true, "a", address, "");
    Cluster.runOnStandInThread([&] {
      Cluster.Store->put("hosts/" + Node->Id, entryOf(*Node));
      return 0;
    });
  }

  void putConfig(const nlohmann::json &config) {
    Store.put("op/config", config.dump());
  }

  /// @brief Writes the entry of each leaf.
  void putLeaves() {
    for (std::size_t i = 0; i < Links.size(); ++i)
      putLeaf(i, false);
  }

  void putLeaf(std::size_t i, bool draining) {
    auto entry = nlohmann::json::parse(Cluster.Leaves[i]->entry(draining));
    entry["address"] = Links[i]->address();
    Store.put(Cluster.Leaves[i]->key(), entry.dump());
  }

  void removeLeaves() {
    for (const auto &leaf : Cluster.Leaves)
      Store.remove(leaf->key());
  }

  /// @brief Sets the fault of all its links to leaves.
  void setFault(LinkFault fault) {
    for (const auto &link : Links)
      link->setFault(fault);
  }

private:
  /// Without an address for peers, so that hosts take the data of the other
  /// store from none of them.
  static std::string entryOf(const tests::NodeProcess &node) {
    return nlohmann::json{{"failure_domain", "a"},
                          {"callers", node.CallerAddress}}
        .dump();
  }

  tests::NodeDeployment &Cluster;
  tests::MetadataStore Store;
  std::vector<std::unique_ptr<FaultyLink>> Links;
  tests::NodeProcess *Node = nullptr;
  bool Opened = false;
};

} // namespace savorytrestle::soak

#endif
