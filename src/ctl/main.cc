// ochrespringctl: the operators' command.
#include <cstdlib>
#include <iostream>

#include "ctl/command.h"

int main(int argc, char** argv) {
  // Failures are reported by this program; the library's own log lines would only repeat them.
  setenv("GRPC_VERBOSITY", "NONE", /*overwrite=*/0);
  return static_cast<int>(ochrespring::ctl::run(argc, argv, std::cout, std::cerr));
}
