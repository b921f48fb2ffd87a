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
  /** Answers requests until it reads a POST, then closes the connection. */
  static void CloseOnPost(int aSocket, std::atomic<int>& aPosts)
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

  /** The default timeout only ends a test that hangs: on a loaded machine, the
   * server's threads may not run for over a second. */
  CallResult Send(const RawServer& aServer,
                  const char* aMethod,
                  bool aAtMostOnce,
                  std::function<bool()> aMaySend = {},
                  Duration aTimeout = std::chrono::seconds{ 30 })
  {
    Call call;
    call.m_address = aServer.Address();
    call.m_method = aMethod;
    call.m_target = "/x";
    call.m_timeout = aTimeout;
    call.m_atMostOnce = aAtMostOnce;
    call.m_maySend = std::move(aMaySend);
    auto promise = std::make_shared<std::promise<CallResult>>();
    m_client.Start(std::move(call), [promise](CallResult aResult) {
      promise->set_value(std::move(aResult));
    });
    return promise->get_future().get();
  }

  Client m_client;
};

TEST(HttpClient, CompleteAnswer_IsAnswered)
{
  RawServer server([](int aSocket, int) {
    ReadHead(aSocket);
    test::Write(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  const auto result = Send(server, "GET", false);
  CHECK(result.m_end == CallEnd::kAnswered);
  CHECK_STRING("ok", result.m_response.m_body);
}

// The upstream fails in the middle of its answer, and the truncated answer must
// not count as complete.
TEST(HttpClient, BodyShorterThanContentLength_IsIncomplete)
{
  RawServer server([](int aSocket, int) {
    ReadHead(aSocket);
    test::Write(aSocket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
  });
  CHECK(Send(server, "GET", true).m_end == CallEnd::kIncomplete);
}

TEST(HttpClient, TruncatedChunkedBody_IsIncomplete)
{
  RawServer server([](int aSocket, int) {
    ReadHead(aSocket);
    test::Write(aSocket,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nok\r\n");
  });
  CHECK(Send(server, "GET", true).m_end == CallEnd::kIncomplete);
}

// If the end of an answer is marked only by the end of its connection, a
// truncated answer looks complete.
TEST(HttpClient, BodyWithoutFramedEnd_IsIncomplete)
{
  RawServer server([](int aSocket, int) {
    ReadHead(aSocket);
    test::Write(aSocket, "HTTP/1.1 200 OK\r\n\r\nok");
  });
  CHECK(Send(server, "GET", true).m_end == CallEnd::kIncomplete);
}

TEST(HttpClient, ConnectionRefused_IsNotSent)
{
  std::string address;
  {
    RawServer closedServer([](int, int) {});
    address = closedServer.Address();
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
  const auto result = Send(server, "POST", true, {}, Millis{ 1000 });
  CHECK(result.m_end == CallEnd::kTimedOut);
}

// An entry that was frozen between its decision and the send resumes after its
// lease has ended. It has connected, but must not send a byte of the request.
TEST(HttpClient, SendForbiddenAfterConnect_IsNotSent)
{
  std::atomic<int> heads = 0;
  RawServer server(
    [&](int aSocket, int) { heads += ReadHead(aSocket).empty() ? 0 : 1; });
  const auto result = Send(server, "POST", true, []() { return false; });
  CHECK(result.m_end == CallEnd::kNotSent);
  LONGS_EQUAL(0, heads);
}

// The upstream reads a request from a reused connection, runs it and fails
// before it sends a byte of the answer. libcurl would retransmit the request on
// a new connection, and the upstream would run it twice.
TEST(HttpClient, ReusedConnectionClosedAfterRequest_AtMostOnce_IsNotSentTwice)
{
  std::atomic<int> posts = 0;
  RawServer server([&](int aSocket, int) { CloseOnPost(aSocket, posts); });
  CHECK(Send(server, "GET", false).m_end == CallEnd::kAnswered);
  const auto result = Send(server, "POST", true);
  CHECK(result.m_end == CallEnd::kIncomplete);
  LONGS_EQUAL(1, posts);
}

// An order for an instance would take effect seconds after it was decided, on a
// changed instance: it was sent in time, but on a reused connection that was
// closed, so libcurl retransmits it. m_maySend must be called before that too.
TEST(HttpClient, SendForbiddenBeforeRetransmission_IsNotSentTwice)
{
  std::atomic<int> posts = 0;
  RawServer server([&](int aSocket, int) { CloseOnPost(aSocket, posts); });
  CHECK(Send(server, "GET", false).m_end == CallEnd::kAnswered);
  std::atomic<int> calls = 0;
  const auto result =
    Send(server, "POST", false, [&]() { return ++calls == 1; });
  CHECK(result.m_end == CallEnd::kIncomplete);
  LONGS_EQUAL(1, posts);
}

// Each at-most-once request uses a connection of its own. If those were kept, a
// few thousand requests would exhaust the peer's connection limit, and new
// callers would wait until idle connections time out (9 s).
TEST(HttpClient, AtMostOnce_AfterAnswer_ConnectionIsClosed)
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

TEST(HttpClient, InterimResponse_BeforeFinal_IsSkipped)
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
