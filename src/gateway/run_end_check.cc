#include "gateway/run_end_check.h"

#include <utility>

namespace ochrespring::gateway {

void RunEndCheck::begin(RunInquiry* inquiry, RunQuery query, std::function<void(RunVerdict)> done) {
  if (inquiry == nullptr) {
    cancel();
    done(RunVerdict::kNotShown);
    return;
  }
  asker_ = std::make_shared<const int>();
  query.asker = asker_;
  const std::weak_ptr<const int> asker = asker_;
  inquiry->ask(std::move(query), [this, asker, done = std::move(done)](RunVerdict verdict) {
    if (asker.expired()) {
      return;
    }
    asker_.reset();
    done(verdict);
  });
}

}  // namespace ochrespring::gateway
