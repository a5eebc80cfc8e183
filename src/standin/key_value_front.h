// HTTP front of the key-value stand-in.
#pragma once

#include <cstdint>
#include <list>
#include <string>

#include "standin/model/key_value_table.h"
#include "standin/service_front.h"

namespace ochrespring::standin {

struct KeyValueFrontSettings {
  Endpoint listen{"127.0.0.1:0"};
  std::uint64_t fault_seed = 1;
  KeyValueSettings table;
};

/// Serves a KeyValueTable; docs/PLATFORM.md gives the calls. Actions: `backup`, `restore` (puts the
/// state of the last backup back). Used on the loop only.
class KeyValueFront {
 public:
  KeyValueFront(http::EventLoop& loop, const Clock& clock, const KeyValueFrontSettings& settings);

  ServiceFront& front() { return front_; }
  KeyValueTable& table() { return table_; }

 private:
  /// A watch call that waits for a change.
  struct Waiting {
    std::uint64_t number = 0;
    std::string prefix;
    std::uint64_t position = 0;
    WriterPointer response;
  };

  bool admit(const WriterPointer& response);
  void handle_key(const http::Request& request, const WriterPointer& response);
  void handle_get(const http::Request& request, const std::string& key,
                  const WriterPointer& response);
  void handle_put(const http::Request& request, const std::string& key,
                  const WriterPointer& response);
  void handle_delete(const http::Request& request, const std::string& key,
                     const WriterPointer& response);
  void handle_lease(const http::Request& request, const WriterPointer& response);
  void grant_lease(const http::Request& request, const WriterPointer& response);
  void handle_watch(const http::Request& request, const WriterPointer& response);
  void end_wait(std::uint64_t number);
  /// Answers a watch call if there is something to tell, or in any case if `ended`.
  bool answer_watch(Waiting& waiting, bool ended);
  void after_change();
  void drop_waiting();

  http::EventLoop& loop_;
  KeyValueTable table_;
  KeyValueBackup backup_;
  std::uint64_t next_waiting_ = 1;
  std::list<Waiting> waiting_;
  ServiceFront front_;
  Timer expiry_;
};

}  // namespace ochrespring::standin
