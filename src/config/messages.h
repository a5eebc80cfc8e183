// Messages between the nodes' configuration components.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "config/delta.h"

namespace ochrespring::config {

/// The revision in force at the sender.
struct Announce {
  Revision revision;
  bool is_answer = false;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision& is_answer;
  }
};

/// Asks for everything after `have`.
struct Fetch {
  Revision have;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& have;
  }
};

/// Deltas in order.
struct Deltas {
  std::vector<DocumentDelta> deltas;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& deltas;
  }
};

/// The receiver lags too far for deltas: it may ask for the whole document in parts.
struct DocumentOffer {
  Revision revision;
  std::uint32_t parts = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision& parts;
  }
};

struct PartRequest {
  Revision revision;
  std::uint32_t part = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision& part;
  }
};

/// One part of the compressed document.
struct Part {
  Revision revision;
  std::uint32_t part = 0;
  std::string bytes;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision& part& bytes;
  }
};

using Message = std::variant<Announce, Fetch, Deltas, DocumentOffer, PartRequest, Part>;

}  // namespace ochrespring::config
