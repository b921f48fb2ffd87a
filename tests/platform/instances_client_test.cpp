#include "instances_client.h"
#include "raw_server.h"

#include "check.h"

#include <future>

using namespace bamboostile;
using placement::InstanceAnswer;
using test::RawServer;
using test::ReadHead;

/** A server that answers the platform's list call and makes each order fail in
 * a given way. */
TEST_GROUP(InstancesClient)
{
  /** Handles an order; returns whether the connection stays open. */
  using OnOrder = std::function<bool(int aSocket)>;

  /** Reads the list first, so that the order uses an open connection. */
  InstanceAnswer SendOrder(const OnOrder& aOnOrder, bool aIsMove)
  {
    RawServer server([&](int aSocket, int) {
      for (std::string head = ReadHead(aSocket); !head.empty();
           head = ReadHead(aSocket)) {
        if (head.rfind("GET", 0) == 0) {
          Answer(aSocket, 200, R"({"machines":[],"next_token":""})");
          continue;
        }
        ++m_orders;
        if (!aOnOrder(aSocket)) {
          return;
        }
      }
    });
    platform::InstancesClient client(*settings::ParseAddress(server.Address()),
                                     InstanceId{ "c1" });
    const control::InstanceCalls calls = client.Calls();
    std::promise<void> listed;
    calls.m_list([&](const auto&) { listed.set_value(); });
    listed.get_future().wait();
    std::promise<InstanceAnswer> answered;
    const auto done = [&](const control::InstanceCalls::Answer& aAnswer) {
      answered.set_value(aAnswer.m_answer);
    };
    const InstanceId instance{ "i1" };
    if (aIsMove) {
      calls.m_move({ instance, ServiceId{ "desk" }, 1 }, Term{ 1 }, done);
    } else {
      calls.m_maintenance({ 1, instance }, Term{ 1 }, done);
    }
    return answered.get_future().get();
  }

  static void Answer(int aSocket, int aStatus, const std::string& aBody)
  {
    test::Write(aSocket,
                "HTTP/1.1 " + std::to_string(aStatus) +
                  " x\r\nContent-Length: " + std::to_string(aBody.size()) +
                  "\r\n\r\n" + aBody);
  }

  /** Checks that an order, which may have been executed, is sent once and gets
   * the answer kUnclear if the platform reacts as in aOnOrder. */
  void CheckUnclear(const OnOrder& aOnOrder)
  {
    for (const bool isMove : { false, true }) {
      m_orders = 0;
      CHECK(SendOrder(aOnOrder, isMove) == InstanceAnswer::kUnclear);
      LONGS_EQUAL(1, m_orders);
    }
  }

  std::atomic<int> m_orders = 0;
};

// Guards against a resend by the HTTP library on a closed connection: its
// answer "busy" would be taken for a refusal of the first order, which was
// executed.
TEST(InstancesClient, KeptConnectionDiesAfterOrder_IsUnclearAndSentOnce)
{
  CheckUnclear([](int) { return false; });
}

TEST(InstancesClient, AnswerCutShort_IsUnclearAndSentOnce)
{
  CheckUnclear([](int aSocket) {
    test::Write(aSocket, "HTTP/1.1 409 x\r\nContent-Length: 17\r\n\r\n{\"re");
    return false;
  });
}

TEST(InstancesClient, NoAnswerInTime_IsUnclearAndSentOnce)
{
  CheckUnclear([](int) { return true; });
}

TEST(InstancesClient, ErrorsThatMayFollowObeying_AreUnclearAndSentOnce)
{
  for (const int status : { 408, 429, 500, 502, 503, 504 }) {
    CheckUnclear([&](int aSocket) {
      Answer(aSocket, status, "");
      return true;
    });
  }
}

// Guards against a list that is taken for whole when an entry on one of its
// pages cannot be read.
TEST(InstancesClient, ListWithUnreadableEntry_TellsThatAWorkerIsUnnamed)
{
  RawServer server([&](int aSocket, int) {
    for (std::string head = ReadHead(aSocket); !head.empty();
         head = ReadHead(aSocket)) {
      const bool isFirst = head.find("page_token") == std::string::npos;
      Answer(aSocket,
             200,
             isFirst ? R"({"machines":[{"machine":7}],"next_token":"2"})"
                     : R"({"machines":[{"machine":"m","state":"up"}]})");
    }
  });
  platform::InstancesClient client(*settings::ParseAddress(server.Address()),
                                   InstanceId{ "c1" });
  std::promise<std::optional<placement::ListedInstances>> listed;
  client.Calls().m_list(
    [&](auto aListed) { listed.set_value(std::move(aListed)); });
  const auto list = listed.get_future().get();
  CHECK(list.has_value());
  LONGS_EQUAL(1, list->m_readable.size());
  LONGS_EQUAL(2, list->m_unnamedWorkerCount);
}

// Guards against an order that a stopping leader sends beside its successor's.
TEST(InstancesClient, OrdersAreStopped_OrderIsNotSent)
{
  std::promise<void> connectionEnded;
  RawServer server([&](int aSocket, int) {
    m_orders += ReadHead(aSocket).empty() ? 0 : 1;
    connectionEnded.set_value();
  });
  platform::InstancesClient client(*settings::ParseAddress(server.Address()),
                                   InstanceId{ "c1" });
  client.StopOrders();
  std::promise<InstanceAnswer> answered;
  client.Calls().m_move(
    { InstanceId{ "i1" }, ServiceId{ "desk" }, 1 },
    Term{ 1 },
    [&](const auto& aAnswer) { answered.set_value(aAnswer.m_answer); });
  CHECK(answered.get_future().get() == InstanceAnswer::kNotSent);
  connectionEnded.get_future().wait();
  LONGS_EQUAL(0, m_orders);
}
