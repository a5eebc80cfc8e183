#include "statechart/charts/drain.h"

namespace ochrespring::statechart {

const Vocabulary& drain_vocabulary() {
  static const Vocabulary vocabulary{
      "drain",
      {"open", "stopping", "emptying", "moving", "drained"},
      {"drain_requested", "checked", "undrain_requested"},
      {"acknowledged", "empty", "limit_passed"},
      {"exclude_engine", "include_engine", "note_acknowledged", "request_moves",
       "announce_drained"},
  };
  return vocabulary;
}

}  // namespace ochrespring::statechart
