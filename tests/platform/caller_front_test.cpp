#include "caller_front.h"
#include "raw_server.h"

#include "check.h"

#include <kj/async-io.h>

#include <algorithm>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

using namespace bamboostile;
using platform::CallerFront;

namespace {

constexpr std::uint16_t kCallersPort = 19'790;
constexpr std::uint16_t kReadinessPort = 19'791;
constexpr Millis kInterval{ 150 };
/** Requests are sent for this long: almost until a drain ends that lasts as
 * long as it may. */
constexpr Millis kSending{ 4'700 };

/** Whether the begin of a response has arrived. */
bool
HasAnswer(int aSocket)
{
  char first = 0;
  return recv(aSocket, &first, 1, MSG_DONTWAIT) == 1;
}

} // namespace

/** An entry whose calls reach a leader that never answers. */
TEST_GROUP(CallerFront)
{
  struct EventLoop
  {
    kj::AsyncIoContext m_io = kj::setupAsyncIo();
  };

  std::unique_ptr<EventLoop> m_loop = std::make_unique<EventLoop>();
  test::RawServer m_leader{ [](int aSocket, int) {
    while (!test::ReadBody(aSocket, 1).empty()) {
    }
  } };
  std::unique_ptr<CallerFront> m_front;

  void setup() override
  {
    settings::Settings settings;
    settings.m_controlSeeds = { *settings::ParseAddress(m_leader.Address()) };
    settings.m_hosting.emplace();
    settings.m_hosting->m_callers = { "127.0.0.1", kCallersPort };
    settings.m_hosting->m_readiness = { "127.0.0.1", kReadinessPort };
    m_front = std::make_unique<CallerFront>(settings, *m_loop->m_io.provider);
    std::string reason;
    CHECK(m_front->Start(reason));
  }

  // Calls that are still under way refer to the entry.
  void teardown() override
  {
    m_loop->m_io.provider->getTimer()
      .afterDelay(3 * kj::SECONDS)
      .wait(m_loop->m_io.waitScope);
  }
};

// Guards against requests that are read during a drain and cut off at its end.
TEST(CallerFront, LeaderIsAwayDuringDrain_EachRequestIsAnsweredBeforeItEnds)
{
  const TimePoint end = MonotonicNow() + kSending;
  auto drained = m_front->Drain();
  std::vector<int> sockets;
  std::thread caller([&]() {
    for (; MonotonicNow() < end; std::this_thread::sleep_for(kInterval)) {
      sockets.push_back(test::ConnectAndWrite(
        kCallersPort,
        "GET /q/a HTTP/1.1\r\nHost: host\r\nDeadline-Ms: 3000\r\n\r\n"));
    }
  });
  drained.wait(m_loop->m_io.waitScope);
  caller.join();
  const auto answered =
    std::count_if(sockets.begin(), sockets.end(), HasAnswer);
  LONGS_EQUAL(sockets.size(), answered);
  std::for_each(sockets.begin(), sockets.end(), close);
}
