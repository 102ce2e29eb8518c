#include <cstdio>

#include "support/Version.h"

int main() {
  std::printf("savorytrestle %s\n", savorytrestle::support::Version.data());
  return 0;
}
