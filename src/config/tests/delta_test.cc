#include "config/delta.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "config/document_store.h"
#include "config/stored_head.h"
#include "fleet/mutation.h"

namespace ochrespring::config {
namespace {

/// The n-th change: creates, updates and deletes a handful of tenants.
fleet::Mutation arbitrary_mutation(int number) {
  fleet::Mutation mutation;
  mutation.id = MutationId("change-" + std::to_string(number));
  fleet::Tenant tenant;
  tenant.name = TenantName("tenant-" + std::to_string(*rc::gen::inRange(0, 5)));
  tenant.weight = *rc::gen::inRange(1U, 10U);
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      mutation.command = fleet::CreateResource{tenant};
      break;
    case 1:
      mutation.command = fleet::UpdateResource{tenant};
      break;
    default:
      mutation.command = fleet::DeleteResource{{fleet::ResourceKind::kTenant, tenant.name.value()}};
  }
  return mutation;
}

HashedDocument hashed(fleet::FleetDocument document) {
  HashedDocument result{std::move(document), 0};
  result.hash = content_hash(result.document);
  return result;
}

}  // namespace

TEST_CASE("deltas lead to the document their author had, hash included") {
  const bool holds = rc::check([] {
    HashedDocument author = hashed({});
    HashedDocument follower = author;
    for (int number = 0; number < 30; ++number) {
      const auto next = fleet::apply(author.document, arbitrary_mutation(number));
      if (next.has_error() || next.value().revision == author.document.revision) {
        continue;
      }
      const auto delta = make_delta(author, next.value());
      RC_ASSERT(delta.has_value());
      author = hashed(next.value());
      follower = apply_delta(follower, *delta).value();
      RC_ASSERT(follower.document == author.document);
      RC_ASSERT(follower.hash == author.hash);
    }
  });
  CHECK(holds);
}

TEST_CASE("the revision in force never goes back, whatever arrives") {
  const bool holds = rc::check([] {
    DocumentStore store(4);
    std::vector<fleet::FleetDocument> versions{{}};
    std::vector<DocumentDelta> deltas;
    for (int number = 0; number < 10; ++number) {
      const auto next = fleet::apply(versions.back(), arbitrary_mutation(number));
      if (next.has_value() && next.value().revision != versions.back().revision) {
        deltas.push_back(*make_delta(hashed(versions.back()), next.value()));
        versions.push_back(next.value());
      }
    }
    const auto arrivals =
        *rc::gen::container<std::vector<std::size_t>>(rc::gen::arbitrary<std::size_t>());
    for (const std::size_t arrival : arrivals) {
      const Revision before = store.revision();
      if (arrival % 2 == 0 || deltas.empty()) {
        store.adopt(versions[arrival % versions.size()]);
      } else {
        (void)store.adopt(deltas[arrival % deltas.size()]);
      }
      RC_ASSERT(store.revision() >= before);
      const auto found = std::find_if(versions.begin(), versions.end(), [&](const auto& version) {
        return version.revision == store.revision();
      });
      RC_ASSERT(*store.document() == *found);
    }
  });
  CHECK(holds);
}

TEST_CASE("a delta whose result differs is refused") {
  HashedDocument before = hashed({});
  fleet::Mutation mutation;
  mutation.id = MutationId("change");
  mutation.command = fleet::CreateResource{fleet::Tenant{TenantName("clinic")}};
  auto delta = make_delta(before, fleet::apply(before.document, mutation).value());
  REQUIRE(delta);
  delta->result_hash ^= 1;
  CHECK(apply_delta(before, *delta).error().code == ConfigErrc::kMismatch);
  delta->from = Revision(7);
  CHECK(apply_delta(before, *delta).error().code == ConfigErrc::kWrongBase);
}

TEST_CASE("arbitrary bytes are no head, and do no harm") {
  const bool holds = rc::check([](const std::string& bytes) { (void)decode_head(bytes); });
  CHECK(holds);
}

TEST_CASE("a head of a newer program is told apart from a damaged one") {
  std::string bytes = encode_head({});
  CHECK(decode_head(bytes).has_value());
  bytes.front() = 2;
  CHECK(decode_head(bytes).error().code == ConfigErrc::kUnsupportedFormat);
  CHECK(decode_head("").error().code == ConfigErrc::kMalformed);
}

}  // namespace ochrespring::config
