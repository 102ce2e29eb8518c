#include "ProcessHarness.h"

#include <csignal>
#include <filesystem>
#include <fstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "operators/OperatorAuth.h"

namespace savorytrestle::testing {

using nlohmann::json;

namespace {

struct Pipe {
  int Read = -1;
  int Write = -1;
};

Pipe openPipe() {
  int ends[2] = {-1, -1};
  if (pipe2(ends, O_CLOEXEC) != 0)
    return {};
  return {ends[0], ends[1]};
}

} // namespace

Process::Process(const std::vector<std::string> &arguments,
                 const std::string &logFile) {
  const Pipe output = openPipe();
  Output = output.Read;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, output.Write, STDOUT_FILENO);
  const std::string log = logFile.empty() ? "/dev/null" : logFile;
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (!logFile.empty())
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
  const std::string program =
      arguments.front().starts_with("/")
          ? arguments.front()
          : std::string(BINARY_DIR) + "/" + arguments.front();
  std::vector<char *> argv;
  argv.reserve(arguments.size() + 1);
  for (const auto &argument : arguments)
    argv.push_back(const_cast<char *>(argument.c_str()));
  argv.push_back(nullptr);
  if (posix_spawn(&Pid, program.c_str(), &actions, nullptr, argv.data(),
                  environ) != 0)
    Pid = 0;
  posix_spawn_file_actions_destroy(&actions);
  close(output.Write);
}

Process::Process(Process &&other) noexcept
    : Pid(std::exchange(other.Pid, 0)),
      Output(std::exchange(other.Output, -1)) {}

Process &Process::operator=(Process &&other) noexcept {
  if (this == &other)
    return *this;
  kill();
  Pid = std::exchange(other.Pid, 0);
  Output = std::exchange(other.Output, -1);
  return *this;
}

Process::~Process() { kill(); }

int Process::readPort() {
  std::string text;
  char c = 0;
  while (read(Output, &c, 1) == 1 && c != '\n')
    text.push_back(c);
  if (text.rfind("port=", 0) != 0)
    return 0;
  return std::atoi(text.c_str() + 5);
}

void Process::signal(int number) const {
  if (Pid > 0)
    ::kill(Pid, number);
}

int Process::wait() {
  if (Pid <= 0)
    return 0;
  int status = 0;
  waitpid(Pid, &status, 0);
  Pid = 0;
  if (Output >= 0)
    close(std::exchange(Output, -1));
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool Process::ended() {
  siginfo_t info{};
  return Pid > 0 &&
         waitid(P_PID, static_cast<id_t>(Pid), &info,
                WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == Pid;
}

void Process::kill() {
  if (Pid <= 0)
    return;
  // SIGKILL also ends a process stopped by SIGSTOP.
  signal(SIGKILL);
  wait();
}

JsonReply sendJson(const std::string &method, const std::string &url,
                   const json &body,
                   const std::map<std::string, std::string> &headers,
                   std::chrono::milliseconds timeout) {
  thread_local support::HttpClient client;
  support::HttpCall call;
  call.Method = method;
  call.Url = url;
  call.Body = body.is_string() ? body.get<std::string>() : body.dump();
  call.Headers = headers;
  call.Timeout = timeout;
  const auto reply = client.send(call);
  if (!reply)
    return {};
  return {reply->Status, json::parse(reply->Body, nullptr, false),
          reply->Headers};
}

int freePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0)
    return 0;
  getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

json LeafProcess::control(const json &change) const {
  return sendJson("POST", "http://" + Address + "/control", change).Body;
}

void LeafProcess::restart() {
  Child.kill();
  eventually([&] {
    Child = Process(Arguments);
    return Child.readPort() != 0;
  });
}

JsonReply HostProcess::call(const std::string &path, const json &body,
                            std::chrono::milliseconds deadline,
                            std::map<std::string, std::string> headers) const {
  headers["Deadline-Ms"] = std::to_string(deadline.count());
  return sendJson("POST", "http://" + CallerAddress + path, body, headers,
                  deadline + std::chrono::milliseconds(3000));
}

bool HostProcess::ready() const {
  return sendJson("GET", "http://" + CallerAddress + "/readyz", nullptr)
             .Status == 200;
}

Deployment::Deployment(const std::vector<std::string> &kvArguments) {
  Folder = std::filesystem::temp_directory_path() / "savorytrestle-XXXXXX";
  mkdtemp(Folder.data());
  std::vector<std::string> arguments = {"kv-standin", "--listen=127.0.0.1:0"};
  arguments.insert(arguments.end(), kvArguments.begin(), kvArguments.end());
  StoreChild = Process(arguments);
  StoreAddress = "127.0.0.1:" + std::to_string(StoreChild.readPort());
}

Deployment::~Deployment() {
  Hosts.clear();
  Leaves.clear();
  StoreChild.kill();
  HostListChild.kill();
  if (std::getenv("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Folder);
}

LeafProcess &Deployment::addLeaf(const std::string &name,
                                 const std::vector<std::string> &arguments) {
  auto leaf = std::make_unique<LeafProcess>();
  leaf->Name = name;
  leaf->Address = "127.0.0.1:" + std::to_string(freePort());
  leaf->Arguments = {"leaf-standin", "--name=" + name,
                     "--listen=" + leaf->Address};
  leaf->Arguments.insert(leaf->Arguments.end(), arguments.begin(),
                         arguments.end());
  leaf->restart();
  Leaves.push_back(std::move(leaf));
  return *Leaves.back();
}

HostProcess &Deployment::addHost(const std::string &failureDomain,
                                 const std::string &extra) {
  auto host = std::make_unique<HostProcess>();
  const auto address = [] { return "127.0.0.1:" + std::to_string(freePort()); };
  host->Id = "host-" + std::to_string(Hosts.size() + 1);
  host->CallerAddress = address();
  host->OperatorAddress = address();
  host->PeerAddress = address();
  host->ConfigFile = Folder + "/" + host->Id + ".yaml";
  std::ofstream(host->ConfigFile)
      << "host: {id: " << host->Id << ", failure_domain: " << failureDomain
      << ", region: here}\nlisten:\n  callers: " << host->CallerAddress
      << "\n  operators: " << host->OperatorAddress
      << "\n  peers: " << host->PeerAddress << "\nplatform: {store: \""
      << StoreAddress << "\""
      << (HostListAddress.empty() ? ""
                                  : ", host_list: \"" + HostListAddress + "\"")
      << "}\n"
      << "operators: {root_token_hash: " << operators::hashToken(RootToken)
      << "}\n"
      << extra;
  restart(*host);
  Hosts.push_back(std::move(host));
  return *Hosts.back();
}

void Deployment::restart(HostProcess &host) const {
  host.Child.kill();
  host.Child =
      Process({"savorytrestle", "serve", "--config=" + host.ConfigFile},
              Folder + "/" + host.Id + ".log");
}

void Deployment::startHostList(std::chrono::milliseconds lag) {
  HostListChild = Process({"host-list-standin", "--listen=127.0.0.1:0",
                           "--lag_ms=" + std::to_string(lag.count())});
  HostListAddress = "127.0.0.1:" + std::to_string(HostListChild.readPort());
}

void Deployment::publishHostList() const {
  json list = json::array();
  for (const auto &host : Hosts)
    list.push_back({{"id", host->Id},
                    {"peer_address", host->PeerAddress},
                    {"failure_domain", "wien"},
                    {"region", "here"},
                    {"state", "live"}});
  sendJson("POST", "http://" + HostListAddress + "/control", list);
}

json Deployment::storeControl(const json &change) const {
  return sendJson("POST", "http://" + StoreAddress + "/control", change).Body;
}

} // namespace savorytrestle::testing
