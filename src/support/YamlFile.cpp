#include "support/YamlFile.h"

#include <fstream>
#include <sstream>

namespace savorytrestle::support {

core::Result<std::string> readFile(const std::string &path) {
  std::ifstream file(path);
  if (!file)
    return core::makeError(core::ErrorCode::NotFound,
                           path + ": cannot be read");
  std::stringstream buf;
  buf << file.rdbuf();
  return buf.str();
}

} // namespace savorytrestle::support
