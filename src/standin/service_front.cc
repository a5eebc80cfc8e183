#include "standin/service_front.h"

#include <algorithm>
#include <utility>

#include "standin/faulty_writer.h"

namespace ochrespring::standin {

namespace {

/// How long a call waits for another one to cross answers with.
constexpr Duration kCrossingWait = std::chrono::milliseconds(250);
constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kMethodNotAllowed = 405;

bool spoils_answer(const CallFaults& faults) {
  return faults.truncate_answer || faults.cut_answer || faults.double_chunk;
}

}  // namespace

ServiceFront::ServiceFront(http::EventLoop& loop, Endpoint listen, std::uint64_t fault_seed)
    : loop_(loop),
      faults_(fault_seed),
      server_(loop, http::ServerSettings{.listen = std::move(listen), .tls = {}}) {
  server_.route("/faults", [this](const http::Request& request, const WriterPointer& response) {
    handle_faults(request, response);
  });
  server_.route("/faults/actions",
                [this](const http::Request& request, const WriterPointer& response) {
                  handle_action(request, response);
                });
}

void ServiceFront::route(const std::string& prefix, http::Handler handler) {
  server_.route(
      prefix, [this, handler = std::move(handler)](http::Request request, WriterPointer response) {
        handle(std::move(request), std::move(response), handler);
      });
}

void ServiceFront::add_action(const std::string& name, std::function<void()> action) {
  actions_.push_back({name, std::move(action)});
}

void ServiceFront::handle(http::Request request, WriterPointer response,
                          const http::Handler& handler) {
  const CallFaults faults = faults_.draw(request.path);
  if (faults.cut_before_effect) {
    response->abort();
    return;
  }
  if (faults.delay == Duration::zero()) {
    handle_now(faults, std::move(request), std::move(response), handler);
    return;
  }
  loop_.schedule_after(faults.delay, [this, faults, handler, request = std::move(request),
                                      response = std::move(response)]() mutable {
    handle_now(faults, std::move(request), std::move(response), handler);
  });
}

void ServiceFront::handle_now(const CallFaults& faults, http::Request request,
                              WriterPointer response, const http::Handler& handler) {
  if (faults.lose_answer) {
    auto cut = [caller = std::move(response)] { caller->abort(); };
    run_handler(handler, std::move(request), std::make_shared<DiscardingWriter>(std::move(cut)));
    return;
  }
  if (spoils_answer(faults)) {
    response = std::make_shared<FaultyWriter>(std::move(response), faults);
  }
  if (faults.cross_answer) {
    cross(std::move(request), std::move(response), handler);
    return;
  }
  run_handler(handler, std::move(request), std::move(response));
}

void ServiceFront::run_handler(const http::Handler& handler, http::Request request,
                               WriterPointer response) {
  try {
    handler(std::move(request), response);
  } catch (const nlohmann::json::exception& error) {
    // A field of another type than the handler asked for.
    answer_error(response, kBadRequest, "malformed", error.what());
  }
}

void ServiceFront::cross(http::Request request, WriterPointer response,
                         const http::Handler& handler) {
  if (held_.empty()) {
    const std::uint64_t number = next_held_++;
    held_.push_back({number, std::move(request), std::move(response), handler});
    loop_.schedule_after(kCrossingWait, [this, number] { release_held(number); });
    return;
  }
  HeldCall other = std::move(held_.front());
  held_.pop_front();
  run_handler(other.handler, std::move(other.request), std::move(response));
  run_handler(handler, std::move(request), std::move(other.response));
}

void ServiceFront::release_held(std::uint64_t number) {
  const auto found = std::find_if(held_.begin(), held_.end(),
                                  [number](const HeldCall& held) { return held.number == number; });
  if (found == held_.end()) {
    return;
  }
  HeldCall alone = std::move(*found);
  held_.erase(found);
  run_handler(alone.handler, std::move(alone.request), std::move(alone.response));
}

void ServiceFront::handle_faults(const http::Request& request, const WriterPointer& response) {
  if (request.method == "GET") {
    answer_faults(response);
    return;
  }
  if (request.method != "PUT") {
    answer_error(response, kMethodNotAllowed, "method", "use GET or PUT");
    return;
  }
  const auto change = read_json(request, response);
  if (!change) {
    return;
  }
  const auto merged = merge_faults(faults_.settings(), *change);
  if (merged.has_error()) {
    answer_error(response, kBadRequest, "invalid_fault", merged.error().message);
    return;
  }
  faults_.set(merged.value());
  if (faults_changed_) {
    faults_changed_();
  }
  answer_faults(response);
}

void ServiceFront::handle_action(const http::Request& request, const WriterPointer& response) {
  const auto body = read_json(request, response);
  if (!body) {
    return;
  }
  const std::string name = string_field(*body, "action");
  const auto action = std::find_if(actions_.begin(), actions_.end(),
                                   [&name](const Action& known) { return known.name == name; });
  if (action == actions_.end()) {
    answer_error(response, kBadRequest, "unknown_action", "no such action: " + name);
    return;
  }
  action->run();
  answer_json(response, kOk, {{"done", name}});
}

void ServiceFront::answer_faults(const WriterPointer& response) const {
  nlohmann::json body = json_of(faults_.settings());
  body["injected"] = faults_.injected();
  answer_json(response, kOk, body);
}

}  // namespace ochrespring::standin
