// Interface of the receiver of usage reports.
#pragma once

#include "duties/errc.h"
#include "duties/types.h"
#include "usage/types.h"

namespace ochrespring::usage {

class UsageSink {
 public:
  virtual ~UsageSink() = default;
  /// Reports the counts of one window. An identical retry is harmless. Fails with kRefused if a
  /// higher fence was seen.
  virtual void report_usage(duties::Fence fence, const WindowCounts& counts,
                            duties::DutyCallback done) = 0;
};

}  // namespace ochrespring::usage
