#include "discovery/entry_reader.h"

#include <algorithm>
#include <string>
#include <utility>

#include "wire/codec.h"

namespace ochrespring::discovery {

namespace {

bool is_printable(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char byte) { return byte > ' ' && byte < 0x7f; });
}

}  // namespace

std::optional<gateway::Backend> EntryReader::read_backend(const shared_store::Change& entry) {
  const std::string name = entry.key.substr(codec_.layout().backend_prefix.size());
  auto backend = codec_.read_backend(name, *entry.value);
  if (!backend) {
    reject(entry.key, backend.error().message);
    return std::nullopt;
  }
  return std::move(backend.value());
}

std::optional<NodeRecord> EntryReader::read_node(const shared_store::Change& entry) {
  auto node = wire::decode<NodeRecord>(*entry.value);
  if (!node) {
    reject(entry.key, node.error().message);
    return std::nullopt;
  }
  const std::size_t prefix = codec_.layout().node_prefix.size();
  if (entry.key.compare(prefix, std::string::npos, node.value().node.value()) != 0) {
    reject(entry.key, "the record's node id does not match the key");
    return std::nullopt;
  }
  if (!is_printable(node.value().address.value())) {
    reject(entry.key, "the record's address is not a text");
    return std::nullopt;
  }
  return std::move(node.value());
}

std::optional<gateway::Configuration> EntryReader::read_configuration(const std::string& value) {
  auto configuration = codec_.read_configuration(value);
  if (!configuration) {
    reject(codec_.layout().configuration_key, configuration.error().message);
    return std::nullopt;
  }
  return std::move(configuration.value());
}

void EntryReader::reject(const std::string& key, const std::string& reason) {
  ++rejected_;
  logger_.write({logging::Level::kError,
                 "discovery",
                 "failed to parse a store entry",
                 {{"key", key}, {"reason", reason}}});
}

}  // namespace ochrespring::discovery
