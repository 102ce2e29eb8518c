#include "support/RunHandlers.h"

#include "support/Log.h"

namespace savorytrestle::support {

void runHandlers(boost::asio::io_context &io) {
  while (!callGuarded([&io] { io.run(); })) {
  }
}

void logHandlerFailure(const char *why) {
  LogLine("handler_failed").with("why", why);
}

} // namespace savorytrestle::support
