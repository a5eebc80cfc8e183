// Runs a fuzzing target over files of a committed corpus, without libFuzzer. Any compiler builds
// it, so that every input ever found keeps being checked.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "fuzzing/fuzz_target.h"

namespace {

std::string contents(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::filesystem::path> inputs;
  for (int i = 1; i < argc; ++i) {
    for (const auto& entry : std::filesystem::directory_iterator(argv[i])) {
      inputs.push_back(entry.path());
    }
  }
  std::sort(inputs.begin(), inputs.end());
  for (const auto& input : inputs) {
    const std::string bytes = contents(input);
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  }
  std::cout << inputs.size() << " inputs\n";
  // A corpus that was not found would pass for one that holds.
  return inputs.empty() ? 1 : 0;
}
