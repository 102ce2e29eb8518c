#include "NodeDeployment.h"

#include <gtest/gtest.h>

using namespace savorytrestle;

namespace {

/// Guards against two test processes that use one port in turns: a host that is
/// restarted could not listen again, and callers would get the answers of
/// another deployment.
TEST(PortReservation, APortOfAHostThatIsDownIsNotGivenAway) {
  boost::asio::io_context io;
  const int port = tests::nonEphemeralPort();
  EXPECT_FALSE(tests::reservePort(io, port));
  // The host itself can listen there, as often as it is restarted.
  for (int i = 0; i < 2; ++i) {
    boost::system::error_code ec;
    boost::asio::ip::tcp::acceptor host(io, boost::asio::ip::tcp::v4());
    host.bind({boost::asio::ip::address_v4::loopback(),
               static_cast<unsigned short>(port)},
              ec);
    EXPECT_FALSE(ec) << ec.message();
  }
}

} // namespace
