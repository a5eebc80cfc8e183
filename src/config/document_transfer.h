// A whole document between two nodes: serving its parts at a bounded rate, and asking for them one
// by one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "config/document_store.h"
#include "config/messages.h"
#include "config/settings.h"

namespace ochrespring::config {

/// Sending side. Keeps the compressed document only while it is asked for.
class DocumentServer {
 public:
  DocumentServer(const DocumentStore& documents, const ConfigSettings& settings)
      : documents_(documents), settings_(settings) {}

  /// Offer of the document in force.
  DocumentOffer offer(MonotonicTime now);
  /// The part asked for, or none if it is gone or the rate is used up; the asker tries again.
  std::optional<Part> part(const PartRequest& request, MonotonicTime now);
  /// Frees the compressed document when nobody has asked for a while.
  void release(MonotonicTime now);

 private:
  void refresh(MonotonicTime now);

  const DocumentStore& documents_;
  const ConfigSettings& settings_;
  Revision revision_;
  std::string bytes_;
  MonotonicTime last_used_;
  MonotonicTime window_start_;
  std::size_t served_in_window_ = 0;
};

/// Receiving side.
class DocumentDownload {
 public:
  DocumentDownload(Endpoint from, const DocumentOffer& offer, MonotonicTime now)
      : from_(std::move(from)), offer_(offer), last_progress_(now) {}

  const Endpoint& from() const { return from_; }
  Revision revision() const { return offer_.revision; }
  /// Next part to ask for.
  PartRequest next() const { return {offer_.revision, parts_}; }
  /// Takes a part; ignores any but the next.
  void take(const Part& part, MonotonicTime now);
  bool complete() const { return parts_ == offer_.parts; }
  MonotonicTime last_progress() const { return last_progress_; }
  /// The document, once complete. Errors: kMalformed, kUnsupportedFormat.
  Result<fleet::FleetDocument, ConfigError> open() const;

 private:
  Endpoint from_;
  DocumentOffer offer_;
  std::string bytes_;
  std::uint32_t parts_ = 0;
  MonotonicTime last_progress_;
};

/// Document from its compressed bytes. Errors: kMalformed, kUnsupportedFormat.
Result<fleet::FleetDocument, ConfigError> open_document(const std::string& compressed);

}  // namespace ochrespring::config
