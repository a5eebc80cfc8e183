// Waits for the verdict on whether one request's run has ended at its engine.
#pragma once

#include <functional>
#include <memory>

#include "gateway/run_inquiry.h"

namespace ochrespring::gateway {

/// Has at most one query open: a new one replaces it, and so does the end of this object. Serves
/// one request, on one event loop.
class RunEndCheck {
 public:
  /// Asks `inquiry` for the run; the asker of `query` is set here. `done` may be called from within
  /// this call and may begin another check. With a null `inquiry`, no run is shown to have ended.
  void begin(RunInquiry* inquiry, RunQuery query, std::function<void(RunVerdict)> done);
  /// Drops the open query.
  void cancel() { asker_.reset(); }

 private:
  std::shared_ptr<const int> asker_;  ///< Identifies the open query; null if there is none.
};

}  // namespace ochrespring::gateway
