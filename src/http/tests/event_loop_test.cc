#include "http/event_loop.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "http/h2o_api.h"

using namespace ochrespring;
using namespace std::chrono_literals;

TEST_CASE("timers run in the order they are due, and cancelled ones do not run") {
  http::EventLoop loop;
  std::vector<int> order;
  loop.schedule_after(2ms, [&] {
    order.push_back(2);
    loop.stop();
  });
  loop.schedule_after(1ms, [&] { order.push_back(1); });
  loop.cancel(loop.schedule_after(0ms, [&] { order.push_back(0); }));
  loop.run();
  CHECK(order == std::vector<int>{1, 2});
}

TEST_CASE("tasks posted from another thread run in order") {
  constexpr int kTasks = 1000;
  http::EventLoop loop;
  std::vector<int> order;
  std::thread poster([&] {
    for (int i = 0; i != kTasks; ++i) {
      loop.post([&order, i] { order.push_back(i); });
    }
    loop.post([&] { loop.stop(); });
  });
  loop.run();
  poster.join();
  REQUIRE(order.size() == kTasks);
  CHECK(std::is_sorted(order.begin(), order.end()));
}

TEST_CASE("a task posted on the loop runs after the one that posted it") {
  http::EventLoop loop;
  std::vector<int> order;
  loop.post([&] {
    loop.post([&] {
      order.push_back(2);
      loop.stop();
    });
    order.push_back(1);
  });
  loop.run();
  CHECK(order == std::vector<int>{1, 2});
}

TEST_CASE("a write to a closed connection does not terminate the process") {
  const http::EventLoop loop;
  int pair[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, pair) == 0);
  ::close(pair[1]);
  CHECK(::write(pair[0], "x", 1) == -1);
  ::close(pair[0]);
}

TEST_CASE("input that arrived during a stall is read before overdue timers run") {
  http::EventLoop loop;
  int pair[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair) == 0);
  std::vector<std::string> order;
  h2o_socket_t* socket =
      h2o_evloop_socket_create(loop.native(), pair[0], H2O_SOCKET_FLAG_DONT_READ);
  socket->data = &order;
  h2o_socket_read_start(socket, [](h2o_socket_t* readable, const char* /*error*/) {
    char byte = 0;
    CHECK(::read(h2o_socket_get_fd(readable), &byte, 1) == 1);
    static_cast<std::vector<std::string>*>(readable->data)->push_back("read");
  });
  loop.schedule_after(100ms, [&] {
    order.push_back("timer");
    loop.stop();
  });
  // The input arrives in time, but the loop is blocked until the timer is overdue.
  loop.post([&] {
    REQUIRE(::write(pair[1], "x", 1) == 1);
    std::this_thread::sleep_for(200ms);
  });
  loop.run();
  CHECK(order == std::vector<std::string>{"read", "timer"});
  h2o_socket_close(socket);
  ::close(pair[1]);
}
