#include "process/file_watcher.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace std::chrono_literals;

TEST_CASE("a change is reported once, and a missing file not at all") {
  const std::string path = "/tmp/ochrespring-file-watcher-" + std::to_string(::getpid());
  std::ofstream(path) << "a";
  simulation::VirtualTime time;
  int changes = 0;
  process::FileWatcher watcher(time, path, [&] { ++changes; });
  time.run_until(time.now() + 10s);
  CHECK(changes == 0);
  std::ofstream(path) << "longer";
  time.run_until(time.now() + 10s);
  CHECK(changes == 1);
  std::remove(path.c_str());
  time.run_until(time.now() + 10s);
  CHECK(changes == 1);
}
