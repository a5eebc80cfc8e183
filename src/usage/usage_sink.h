// Who takes the reports of usage.
#pragma once

#include "duties/errc.h"
#include "duties/types.h"
#include "usage/types.h"

namespace ochrespring::usage {

class UsageSink {
 public:
  virtual ~UsageSink() = default;
  /// One window's counts, once; an exact repeat does no harm. kRefused: a higher fence was seen.
  virtual void report_usage(duties::Fence fence, const WindowCounts& counts,
                            duties::DutyCallback done) = 0;
};

}  // namespace ochrespring::usage
