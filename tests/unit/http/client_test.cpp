#include "bamboostile/http/client.h"
#include "raw_server.h"

#include "check.h"

#include <future>

#include <unistd.h>

using namespace bamboostile;
using namespace bamboostile::http;
using test::RawServer;
using test::ReadHead;

TEST_GROUP(HttpClient)
{
  /** Answers what comes on the connection, but reads a POST and dies. */
  static void DieOnPost(int aSocket, std::atomic<int>& aPosts)
  {
    for (std::string head = ReadHead(aSocket); !head.empty();
         head = ReadHead(aSocket)) {
      if (head.rfind("POST", 0) == 0) {
        ++aPosts;
        return;
      }
      test::Write(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  }

  CallResult Send(const RawServer& aServer,
                  const char* aMethod,
                  bool aOnlyOnce,
                  std::function<bool()> aMaySend = {})
  {
    Call call;
    call.m_address = aServer.Address();
    call.m_method = aMethod;
    call.m_target = "/x";
    call.m_timeout = Millis{ 1000 };
    call.m_onlyOnce = aOnlyOnce;
    call.m_maySend = std::move(aMaySend);
    auto promise = std::make_shared<std::promise<CallResult>>();
    m_client.Start(std::move(call), [promise](CallResult aResult) {
      promise->set_value(std::move(aResult));
    });
    return promise->get_future().get();
  }

  Client m_client;
};

TEST(HttpClient, WholeAnswer_IsAnswered)
{
  RawServer server([](int aSocket, int) {
    ReadHead(aSocket);
    test::Write(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  const auto result = Send(server, "GET", false);
  CHECK(result.m_end == CallEnd::kAnswered);
  CHECK_STRING("ok", result.m_response.m_body);
}

// The upstream dies in the middle of its answer. What came must not pass for
// the whole.
TEST(HttpClient, BodyShorterThanItsLength_IsBroken)
{
  RawServer server([](int aSocket, int) {
    ReadHead(aSocket);
    test::Write(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
  });
  CHECK(Send(server, "GET", true).m_end == CallEnd::kBroken);
}

TEST(HttpClient, ChunkedBodyCutShort_IsBroken)
{
  RawServer server([](int aSocket, int) {
    ReadHead(aSocket);
    test::Write(aSocket,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nok\r\n");
  });
  CHECK(Send(server, "GET", true).m_end == CallEnd::kBroken);
}

// An answer that ends with its connection looks the same whole or cut off.
TEST(HttpClient, BodyWithoutProvenEnd_IsBroken)
{
  RawServer server([](int aSocket, int) {
    ReadHead(aSocket);
    test::Write(aSocket, "HTTP/1.1 200 OK\r\n\r\nok");
  });
  CHECK(Send(server, "GET", true).m_end == CallEnd::kBroken);
}

TEST(HttpClient, NobodyListens_IsNotSent)
{
  std::string address;
  {
    RawServer gone([](int, int) {});
    address = gone.Address();
  }
  Call call;
  call.m_address = address;
  call.m_method = "POST";
  call.m_target = "/x";
  call.m_timeout = Millis{ 1000 };
  std::promise<CallResult> promise;
  m_client.Start(
    call, [&](CallResult aResult) { promise.set_value(std::move(aResult)); });
  CHECK(promise.get_future().get().m_end == CallEnd::kNotSent);
}

TEST(HttpClient, NoAnswer_IsTimedOutNotNotSent)
{
  RawServer server([](int aSocket, int) {
    ReadHead(aSocket);
    ReadHead(aSocket);
  });
  CHECK(Send(server, "POST", true).m_end == CallEnd::kTimedOut);
}

// The entry was frozen between its decision and the send; when it wakes, its
// lease is over. It has connected, but no byte of the request goes out.
TEST(HttpClient, SendForbiddenAfterConnect_IsNotSent)
{
  std::atomic<int> heads = 0;
  RawServer server(
    [&](int aSocket, int) { heads += ReadHead(aSocket).empty() ? 0 : 1; });
  const auto result = Send(server, "POST", true, []() { return false; });
  CHECK(result.m_end == CallEnd::kNotSent);
  LONGS_EQUAL(0, heads);
}

// The upstream reads a request from a reused connection, runs it, and dies
// before a byte of the answer. The library below would send it again on a new
// connection by itself; a request that must run once must not be.
TEST(HttpClient, ReusedConnectionDiesAfterRequest_OnlyOnce_IsNotSentTwice)
{
  std::atomic<int> posts = 0;
  RawServer server([&](int aSocket, int) { DieOnPost(aSocket, posts); });
  CHECK(Send(server, "GET", false).m_end == CallEnd::kAnswered);
  const auto result = Send(server, "POST", true);
  CHECK(result.m_end == CallEnd::kBroken);
  LONGS_EQUAL(1, posts);
}

// An order for an instance is obeyed seconds after it was decided, on what runs
// there by then. It left in time, but its reused connection had died, and the
// library sends it again by itself; the sender is asked before that as well.
TEST(HttpClient, SendForbiddenBeforeRepetition_IsNotRepeated)
{
  std::atomic<int> posts = 0;
  RawServer server([&](int aSocket, int) { DieOnPost(aSocket, posts); });
  CHECK(Send(server, "GET", false).m_end == CallEnd::kAnswered);
  std::atomic<int> asked = 0;
  const auto result =
    Send(server, "POST", false, [&]() { return ++asked == 1; });
  CHECK(result.m_end == CallEnd::kBroken);
  LONGS_EQUAL(1, posts);
}

// Each request that must run once gets a connection of its own. Were those
// kept, a few thousand requests would fill the peer's connections, and new
// callers would wait until the idle ones time out (seen: 9 s).
TEST(HttpClient, OnlyOnce_AfterAnswer_ConnectionIsClosed)
{
  std::atomic<int> closed = 0;
  RawServer server([&](int aSocket, int) {
    ReadHead(aSocket);
    test::Write(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    char byte = 0;
    closed += read(aSocket, &byte, 1) == 0 ? 1 : 0;
  });
  for (int i = 0; i < 5; ++i) {
    CHECK(Send(server, "POST", true).m_end == CallEnd::kAnswered);
  }
  for (int i = 0; i < 100 && closed < 5; ++i) {
    std::this_thread::sleep_for(Millis{ 10 });
  }
  LONGS_EQUAL(5, closed);
}

TEST(HttpClient, InterimAnswer_BeforeFinal_IsSkipped)
{
  RawServer server([](int aSocket, int) {
    ReadHead(aSocket);
    test::Write(aSocket,
                "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  const auto result = Send(server, "GET", false);
  CHECK(result.m_end == CallEnd::kAnswered);
  LONGS_EQUAL(200, result.m_response.m_status);
  CHECK_FALSE(FindHeader(result.m_response.m_headers, "X-Early").has_value());
}
