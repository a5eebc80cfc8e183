// A stub of the store: each call is kept until the test answers it.
#pragma once

#include <deque>
#include <string>
#include <utility>

#include "shared_store/store.h"

namespace ochrespring::discovery::testing {

class StubStore : public shared_store::SharedStore {
 public:
  template <class T>
  using Callback = shared_store::StoreCallback<T>;
  struct ChangesCall {
    shared_store::StoreRevision after;
    Callback<shared_store::Changes> done;
  };
  struct PutCall {
    std::string key;
    std::string value;
    Callback<shared_store::StoreRevision> done;
  };
  struct CommitCall {
    shared_store::Transaction transaction;
    Callback<shared_store::StoreRevision> done;
  };
  struct GetCall {
    std::string key;
    Callback<shared_store::Change> done;
  };

  void list(const std::string& /*prefix*/, Callback<shared_store::Listing> done) override {
    lists.push_back(std::move(done));
  }
  /// Answered by a listing, which forms the only page.
  void list_page(const shared_store::PageRequest& /*request*/,
                 Callback<shared_store::ListPage> done) override {
    lists.push_back([done = std::move(done)](auto listing) {
      if (!listing) {
        done(outcome::failure(listing.error()));
        return;
      }
      done(shared_store::ListPage{std::move(listing.value().items), false,
                                  listing.value().revision});
    });
  }
  void changes(const std::string& /*prefix*/, shared_store::StoreRevision after, Duration /*wait*/,
               Callback<shared_store::Changes> done) override {
    changes_calls.push_back({after, std::move(done)});
  }
  void put(const std::string& key, const std::string& value,
           std::optional<shared_store::LeaseId> /*lease*/,
           Callback<shared_store::StoreRevision> done) override {
    puts.push_back({key, value, std::move(done)});
  }
  void commit(const shared_store::Transaction& transaction,
              Callback<shared_store::StoreRevision> done) override {
    commits.push_back({transaction, std::move(done)});
  }
  void get(const std::string& key, Callback<shared_store::Change> done) override {
    gets.push_back({key, std::move(done)});
  }
  void grant_lease(Duration /*time_to_live*/, Callback<shared_store::LeaseId> done) override {
    grants.push_back(std::move(done));
  }
  void renew_lease(shared_store::LeaseId /*lease*/, Callback<shared_store::LeaseId> done) override {
    renewals.push_back(std::move(done));
  }
  void end_lease(shared_store::LeaseId lease, Callback<shared_store::LeaseId> done) override {
    ended.push_back(lease);
    if (accepts_lease_ends) {
      done(lease);
    } else {
      done(fail(shared_store::StoreErrc::kNotExecuted, "unreachable"));
    }
  }

  bool names_era() const override { return names_its_era; }

  /// Whether calls that end a lease succeed; they are answered immediately.
  bool accepts_lease_ends = true;
  bool names_its_era = false;
  std::deque<Callback<shared_store::Listing>> lists;
  std::deque<ChangesCall> changes_calls;
  std::deque<PutCall> puts;
  std::deque<CommitCall> commits;
  std::deque<GetCall> gets;
  std::deque<Callback<shared_store::LeaseId>> grants;
  std::deque<Callback<shared_store::LeaseId>> renewals;
  std::deque<shared_store::LeaseId> ended;
};

/// Removes and returns the oldest kept call.
template <class Call>
Call take(std::deque<Call>& calls) {
  Call call = std::move(calls.front());
  calls.pop_front();
  return call;
}

}  // namespace ochrespring::discovery::testing
