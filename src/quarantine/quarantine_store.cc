#include "quarantine/quarantine_store.h"

#include <utility>

#include "wire/codec.h"

namespace ochrespring::quarantine {

using shared_store::StoreErrc;
using shared_store::StoreRevision;

void QuarantineStore::add(CrashReport report, std::function<void(bool stored)> done) {
  const std::string key = key_of(report.request);
  report.stored = true;
  store_.commit({.conditions = {{key, {}}},
                 .writes = {{key, wire::encode(report), std::nullopt}},
                 .removals = {}},
                [done = std::move(done)](const auto& result) {
                  done(result || result.error().code == StoreErrc::kConflict);
                });
}

void QuarantineStore::write_fleet_marker(std::function<void(bool marked)> done) {
  const std::string key(fleet_marker_key());
  store_.commit({.conditions = {{key, {}}}, .writes = {{key, "1", std::nullopt}}, .removals = {}},
                [done = std::move(done)](const auto& result) {
                  done(result || result.error().code == StoreErrc::kConflict);
                });
}

void QuarantineStore::remove(const gateway::RequestFingerprint& request) {
  // If this fails, nodes that start later quarantine the request until a trial is answered.
  store_.commit({.conditions = {}, .writes = {}, .removals = {key_of(request)}},
                [](const auto&) {});
}

void QuarantineStore::claim_trial(const CrashReport& report, std::function<void(TrialClaim)> done) {
  store_.get(key_of(report.request), [this, report, done = std::move(done)](const auto& result) {
    if (!result && result.error().code != StoreErrc::kNotFound) {
      done({.granted = false, .trials = report.trials});
      return;
    }
    StoreRevision revision;
    if (result) {
      revision = result.value().revision;
      const auto stored = wire::decode<CrashReport>(result.value().value.value_or(""));
      if (stored && stored.value().trials > report.trials) {
        done({.granted = false, .trials = stored.value().trials});
        return;
      }
    }
    commit_trial(report, revision, done);
  });
}

void QuarantineStore::commit_trial(CrashReport report, StoreRevision revision,
                                   std::function<void(TrialClaim)> done) {
  ++report.trials;
  report.stored = true;
  report.trial_age = Duration::zero();
  const std::string key = key_of(report.request);
  store_.commit({.conditions = {{key, revision}},
                 .writes = {{key, wire::encode(report), std::nullopt}},
                 .removals = {}},
                [trials = report.trials, done = std::move(done)](const auto& result) {
                  // Without an answer this trial may have been counted; after a conflict another
                  // node's was. In both cases no node may send.
                  const bool counted = result || result.error().code == StoreErrc::kUnknownEffect ||
                                       result.error().code == StoreErrc::kConflict;
                  done({.granted = result.has_value(), .trials = counted ? trials : trials - 1});
                });
}

}  // namespace ochrespring::quarantine
