#include "config/checkpoint_storage.h"

#include <utility>

#include "config/document_transfer.h"
#include "fleet/storage_codec.h"
#include "wire/compression.h"

namespace ochrespring::config {

namespace {

using external::ExternalErrc;
using external::KeyVersion;

}  // namespace

ConfigError from_platform(const external::ExternalError& error) {
  switch (error.code) {
    case ExternalErrc::kRateLimited:
      return {ConfigErrc::kRateLimited, error.message};
    case ExternalErrc::kUnknownEffect:
    case ExternalErrc::kMalformed:
      return {ConfigErrc::kUnknownEffect, error.message};
    default:
      return {ConfigErrc::kUnavailable, error.message};
  }
}

struct CheckpointStorage::Writing {
  CheckpointReference reference;
  std::vector<std::string> parts;
  Callback<CheckpointReference> done;
};

struct CheckpointStorage::Reading {
  CheckpointReference reference;
  std::string bytes;
  std::size_t next = 0;
  Callback<fleet::FleetDocument> done;
};

void CheckpointStorage::write(const HashedDocument& document, Callback<CheckpointReference> done) {
  auto writing = std::make_shared<Writing>();
  writing->reference.revision = document.document.revision;
  writing->reference.name = checkpoint_name(document, writer_);
  writing->done = std::move(done);
  const std::string bytes = wire::compress(fleet::encode_document(document.document));
  for (std::size_t at = 0; at < bytes.size(); at += settings_.checkpoint_part_bytes) {
    writing->parts.push_back(bytes.substr(at, settings_.checkpoint_part_bytes));
  }
  write_next(writing);
}

void CheckpointStorage::write_next(const std::shared_ptr<Writing>& writing) {
  const std::size_t part = writing->reference.versions.size();
  if (part == writing->parts.size()) {
    writing->done(writing->reference);
    return;
  }
  store_.compare_and_swap(checkpoint_key(writing->reference.name, part), KeyVersion(),
                          writing->parts[part], std::nullopt,
                          [this, writing, guard = std::weak_ptr<bool>(alive_)](auto result) {
                            if (guard.expired()) {
                              return;
                            }
                            if (result.has_error()) {
                              writing->done(outcome::failure(from_platform(result.error())));
                              return;
                            }
                            // If it was not swapped, an earlier try had written the same bytes.
                            writing->reference.versions.push_back(result.value().version);
                            write_next(writing);
                          });
}

void CheckpointStorage::read(const CheckpointReference& reference,
                             Callback<fleet::FleetDocument> done) {
  auto reading = std::make_shared<Reading>();
  reading->reference = reference;
  reading->done = std::move(done);
  read_next(reading);
}

void CheckpointStorage::read_next(const std::shared_ptr<Reading>& reading) {
  if (reading->reference.revision == Revision()) {
    reading->done(fleet::FleetDocument());
    return;
  }
  if (reading->next == reading->reference.versions.size()) {
    reading->done(open_document(reading->bytes));
    return;
  }
  store_.get(checkpoint_key(reading->reference.name, reading->next),
             [this, reading, guard = std::weak_ptr<bool>(alive_)](auto result) {
               if (guard.expired()) {
                 return;
               }
               if (result.has_error()) {
                 reading->done(outcome::failure(from_platform(result.error())));
                 return;
               }
               if (!result.value()) {
                 reading->done(fail(ConfigErrc::kMissing, "a part of the checkpoint is gone"));
                 return;
               }
               reading->bytes += result.value()->value;
               ++reading->next;
               read_next(reading);
             });
}

void CheckpointStorage::erase(const CheckpointReference& reference) {
  for (std::size_t part = 0; part < reference.versions.size(); ++part) {
    store_.compare_and_delete(checkpoint_key(reference.name, part), reference.versions[part],
                              [](const auto& /*result*/) {});
  }
}

}  // namespace ochrespring::config
