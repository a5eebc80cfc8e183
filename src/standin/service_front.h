// What every stand-in's HTTP front shares: the server, and the faults between it and the handlers.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/server.h"
#include "standin/faults.h"
#include "standin/json_answer.h"

namespace ochrespring::standin {

/// One listening stand-in. `GET /faults` shows what is wrong with it and how often each fault has
/// struck; `PUT /faults` changes it; `POST /faults/actions` does something at once. These calls are
/// never hit by faults themselves. Used on the loop only.
class ServiceFront {
 public:
  ServiceFront(http::EventLoop& loop, Endpoint listen, std::uint64_t fault_seed);
  ServiceFront(const ServiceFront&) = delete;
  ServiceFront& operator=(const ServiceFront&) = delete;

  /// Adds a handler behind the faults. Before listen().
  void route(const std::string& prefix, http::Handler handler);
  /// Called after the fault settings changed.
  void on_faults_changed(std::function<void()> callback) { faults_changed_ = std::move(callback); }
  /// Adds an action that `POST /faults/actions` may name.
  void add_action(const std::string& name, std::function<void()> action);

  Result<void, http::HttpError> listen() { return server_.listen(); }
  Endpoint bound() const { return server_.bound(); }
  void stop_accepting() { server_.stop_accepting(); }
  FaultInjector& faults() { return faults_; }

 private:
  struct Action {
    std::string name;
    std::function<void()> run;
  };
  /// A call whose answer is to be crossed with the next one's.
  struct HeldCall {
    std::uint64_t number = 0;
    http::Request request;
    WriterPointer response;
    http::Handler handler;
  };

  void handle(http::Request request, WriterPointer response, const http::Handler& handler);
  void handle_now(const CallFaults& faults, http::Request request, WriterPointer response,
                  const http::Handler& handler);
  static void run_handler(const http::Handler& handler, http::Request request,
                          WriterPointer response);
  void cross(http::Request request, WriterPointer response, const http::Handler& handler);
  void release_held(std::uint64_t number);
  void handle_faults(const http::Request& request, const WriterPointer& response);
  void handle_action(const http::Request& request, const WriterPointer& response);
  void answer_faults(const WriterPointer& response) const;

  http::EventLoop& loop_;
  FaultInjector faults_;
  std::function<void()> faults_changed_;
  std::vector<Action> actions_;
  std::uint64_t next_held_ = 1;
  std::deque<HeldCall> held_;
  http::Server server_;
};

}  // namespace ochrespring::standin
