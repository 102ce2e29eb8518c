#include "NodeDeployment.h"
#include "standins/HostileBytes.h"
#include "standins/RawLeaf.h"

#include <gtest/gtest.h>

using namespace savorytrestle;
using namespace savorytrestle::tests;
using namespace std::chrono_literals;

namespace {

/// Memory of the smallest machines that hosts run on.
constexpr std::size_t MaxMemory = 160 << 20;

/// One host. A plain service has a sound leaf and one that answers what the
/// test sets.
class HostileBytesTest : public ::testing::Test {
protected:
  void SetUp() override {
    Cluster.runOnStandInThread([&] {
      for (int i = 0; i < Faulty; ++i)
        addFaultyLeaf(i);
      return 0;
    });
    Cluster.addLeaf("i-sound", "plain", "a");
    Cluster.addLeaf("i-t0", "t0", "a");
    Cluster.putConfig(testConfig(3, {"t0"}));
    Host = &Cluster.addNode(true, "a");
    ASSERT_TRUE(NodeDeployment::ready(*Host)) << Host->log();
  }

  // Ends the thread that runs the leaves before they are destroyed.
  ~HostileBytesTest() override { Cluster.stop(); }

  void addFaultyLeaf(int i) {
    Leaves.push_back(std::make_unique<RawLeaf>(
        Cluster.Io, [this](const std::string &) { return Answer; }));
    Cluster.Store->put("servers/i-faulty" + std::to_string(i),
                       nlohmann::json{{"service", "plain"},
                                      {"address", Leaves.back()->addressText()},
                                      {"zone", "a"},
                                      {"version", "v1"},
                                      {"maxConcurrency", 5},
                                      {"state", "ready"},
                                      {"warmupLeftMs", 0},
                                      {"sequence", 1}}
                           .dump());
  }

  void setAnswer(const std::string &bytes) {
    Cluster.runOnStandInThread([&] {
      Answer = {bytes};
      return 0;
    });
  }

  CallerReply send(const std::string &path, const std::string &method = "GET") {
    // Each has a path of its own: leaves that break off are no verdict on one
    // request that comes again and again.
    const std::string id = "r" + std::to_string(++LastRequest);
    return NodeDeployment::sendRequest(*Host, path + id, id, 1s, method,
                                       method == "POST" ? "new" : "");
  }

  /// Sends bytes to an address of the host, and reads until it closes or a
  /// while has passed.
  static std::string sendRaw(const std::string &address,
                             const std::string &bytes) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::asio::ip::tcp::endpoint endpoint;
    EXPECT_TRUE(support::parseEndpoint(address, endpoint));
    socket.connect(endpoint);
    boost::system::error_code ec; // the host may close before it has read all
    boost::asio::write(socket, boost::asio::buffer(bytes), ec);
    std::string got(4096, '\0');
    std::size_t n = 0;
    socket.async_read_some(
        boost::asio::buffer(got),
        [&](boost::system::error_code, std::size_t read) { n = read; });
    io.run_for(200ms);
    got.resize(n);
    return got;
  }

  /// Whether the process that was started still runs and serves.
  void expectServes(const std::string &after) {
    EXPECT_EQ(Host->log().find("event=handler_failed"), std::string::npos)
        << after;
    EXPECT_TRUE(!Host->Child.ended()) << after;
    EXPECT_EQ(send("/search/").Status, 200) << after;
  }

  /// Most memory that the host has had.
  std::size_t peakMemory() const {
    std::ifstream status("/proc/" + std::to_string(Host->Child.id()) +
                         "/status");
    for (std::string line; std::getline(status, line);)
      if (line.starts_with("VmHWM:"))
        return std::stoul(line.substr(line.find_first_of("0123456789"))) << 10;
    return MaxMemory;
  }

  static constexpr int Faulty = 30;
  static constexpr int CallersAtOnce = 400;

  NodeDeployment Cluster;
  std::vector<std::unique_ptr<RawLeaf>> Leaves;
  RawAnswer Answer{leafAnswer("ok", "Savorytrestle-Server-Stamp: s\r\n")};
  NodeProcess *Host = nullptr;
  int LastRequest = 0;
};

/// Guards against a leaf whose bytes end the host with all that it has in hand,
/// and against a status 000 that callers get.
TEST_F(HostileBytesTest, AnswersOfLeavesDontEndTheHost) {
  auto answers =
      hostileMessages("HTTP/1.1 200 OK", "Savorytrestle-Server-Stamp: s\r\n");
  for (const auto &it :
       hostileMessages("HTTP/1.1 000 X", "Savorytrestle-Server-Stamp: s\r\n"))
    answers.push_back({"status 000, " + it.Name, it.Bytes});
  answers.push_back({"status 000", leafAnswer("x",
                                              "Savorytrestle-Server-Stamp: "
                                              "s\r\n",
                                              "000 X")});
  for (const auto &[name, bytes] : answers) {
    setAnswer(bytes);
    for (int i = 0; i < 4; ++i) {
      const auto read = send("/read/");
      EXPECT_TRUE(read.Status == 200 || read.Status == 502 ||
                  read.Status == 503)
          << name << " " << read.Status;
      const auto file = send("/file/", "POST");
      EXPECT_TRUE(file.Status == 200 || file.Status == 502)
          << name << " " << file.Status;
    }
    expectServes(name);
  }
  EXPECT_LT(peakMemory(), MaxMemory);
}

/// Guards against bytes without an end that fill the memory of the host: all
/// faulty leaves send them to as many requests as come.
TEST_F(HostileBytesTest, AnswersWithoutAnEndStayWithinTheHostsMemory) {
  const std::string endless(1000 << 10, 'x');
  for (const std::string &bytes :
       {"HTTP/1.1 200 OK\r\n\r\n" + endless,
        "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + endless,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n" +
            endless}) {
    setAnswer(bytes);
    std::vector<std::thread> callers;
    callers.reserve(CallersAtOnce);
    for (int i = 0; i < CallersAtOnce; ++i)
      callers.emplace_back([this, i] {
        const std::string id = "e" + std::to_string(i);
        NodeDeployment::sendRequest(*Host, "/read/" + id, id, 1s);
      });
    for (auto &it : callers)
      it.join();
    expectServes(bytes.substr(0, 60));
  }
  std::printf("peak of memory: %zu MB\n", peakMemory() >> 20);
  EXPECT_LT(peakMemory(), MaxMemory);
}

/// Guards against a caller, another host or an operator's tool whose bytes end
/// the host.
TEST_F(HostileBytesTest, RequestsDontEndTheHost) {
  const std::string headers =
      "Host: a.example\r\nSavorytrestle-Request-Id: r\r\n"
      "Relay-Config-Version: 3\r\n";
  for (const std::string &address :
       {Host->CallerAddress, Host->PeerAddress, Host->ReadinessAddress,
        Host->MetricsAddress})
    for (const char *line : {"POST /read/x HTTP/1.1", "TRACE /read/x HTTP/1.1",
                             "GET /metrics HTTP/1.1"})
      for (const auto &[name, bytes] : hostileMessages(line, headers)) {
        const std::string got = sendRaw(address, bytes);
        EXPECT_EQ(got.substr(0, 9), "HTTP/1.1 ") << name;
        EXPECT_TRUE(!Host->Child.ended()) << name;
      }
  sendRaw(Host->CallerAddress, "TRACE /read/x HTTP/1.1\r\n" + headers +
                                   "Content-Length: 4\r\n\r\nbody");
  expectServes("requests");
  EXPECT_LT(peakMemory(), MaxMemory);
}

} // namespace
