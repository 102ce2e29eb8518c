// Program that runs the stand-in for the platform's store; POST /control sets
// faults.

#include <cstdio>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>

#include "standins/MetadataStore.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(int, writes_per_second, 400, "writes accepted per second");
ABSL_FLAG(int, reads_per_second, 2000, "reads and watches accepted per second");

int main(int argc, char **argv) {
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context io;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait(
      [&io](const boost::system::error_code &, int) { io.stop(); });
  savorytrestle::tests::MetadataStore store(io);
  store.setRates(absl::GetFlag(FLAGS_reads_per_second),
                 absl::GetFlag(FLAGS_writes_per_second));
  if (const auto open = store.open(absl::GetFlag(FLAGS_listen)); !open) {
    std::fprintf(stderr, "%s\n", open.error().Message.c_str());
    return 1;
  }
  std::printf("port=%d\n", store.port());
  std::fflush(stdout);
  io.run();
}
