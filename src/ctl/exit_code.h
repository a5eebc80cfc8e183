// Exit codes of ochrespringctl, documented in docs/CLI.md.
#pragma once

namespace ochrespring::ctl {

enum class ExitCode : int {
  kSuccess = 0,
  kDifferent = 1,      ///< `diff` found differences, or `statechart check` found faults.
  kInvalid = 2,        ///< The command line, a file or a field is wrong. Nothing changed.
  kNotFound = 3,       ///< The resource, engine or request is not known. Nothing changed.
  kConflict = 4,       ///< Another change came first, or the resource is in use. Nothing changed.
  kUnavailable = 5,    ///< No node could be reached or carry it out. Nothing changed.
  kEffectUnknown = 6,  ///< The change may have been accepted; repeat with the printed id.
  kInternal = 7,       ///< An answer that this program does not understand.
};

}  // namespace ochrespring::ctl
