#include "wire/codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "base/ids.h"

namespace ochrespring::wire {
namespace {

struct Sample {
  NodeId node;
  std::int64_t signed_number = 0;
  std::uint32_t small = 0;
  double real = 0;
  std::vector<std::string> names;
  std::optional<Revision> revision;
  std::map<std::string, std::uint64_t> counts;
  std::variant<std::uint64_t, std::string> choice;

  bool operator==(const Sample&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node& signed_number& small& real& names& revision& counts& choice;
  }
};

}  // namespace

TEST_CASE("a message round-trips through encoding") {
  const bool holds =
      rc::check([](const std::string& node, std::int64_t number, std::uint32_t small,
                   const std::vector<std::string>& names,
                   const std::map<std::string, std::uint64_t>& counts, bool present) {
        Sample sample{NodeId(node), number, small, 1.5, names, std::nullopt, counts, node};
        if (present) {
          sample.revision = Revision(small);
        }
        RC_ASSERT(decode<Sample>(encode(sample)).value() == sample);
      });
  CHECK(holds);
}

TEST_CASE("arbitrary bytes decode to a message or an error") {
  const bool holds = rc::check([](const std::string& bytes) {
    const auto result = decode<Sample>(bytes);
    if (result.has_value()) {
      RC_ASSERT(decode<Sample>(encode(result.value())).has_value());
    }
  });
  CHECK(holds);
}

TEST_CASE("a truncated message is an error") {
  Sample sample;
  sample.names = {"first", "second"};
  const std::string bytes = encode(sample);
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK(decode<Sample>(std::string_view(bytes).substr(0, length)).has_error());
  }
}

}  // namespace ochrespring::wire
