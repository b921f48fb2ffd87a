#include "bamboostile/control/node.h"
#include "bamboostile/entry/leader_client.h"
#include "bamboostile/schema/text.h"
#include "bamboostile/wire/queue_codec.h"

#include "check.h"

#include <kj/async-io.h>

using namespace bamboostile;

namespace {

constexpr const char* kFirst = "127.0.0.1:19792";
constexpr const char* kSuccessor = "127.0.0.1:19793";

/** A leader of a group with these members, until it is lost. */
class Leader final : public schema::Control::Server
{
public:
  Leader(std::vector<std::string> aMembers, const bool& aIsLost)
    : m_members(std::move(aMembers))
    , m_isLost(aIsLost)
  {
  }

  kj::Promise<void> queueCall(QueueCallContext aContext) override
  {
    KJ_REQUIRE(!m_isLost, "this leader is lost");
    auto results = aContext.getResults();
    jobs::QueueReply reply;
    reply.m_outcome = jobs::QueueOutcome::kOk;
    wire::Write(reply, results.initReply());
    auto members = results.initMembers(static_cast<unsigned>(m_members.size()));
    for (unsigned i = 0; i < members.size(); ++i) {
      members.set(i, ToText(m_members[i]));
    }
    results.setMembersRevision(m_members.size());
    return kj::READY_NOW;
  }

private:
  std::vector<std::string> m_members;
  const bool& m_isLost;
};

} // namespace

TEST_GROUP(LeaderClient)
{
  struct EventLoop
  {
    kj::AsyncIoContext m_io = kj::setupAsyncIo();
  };

  std::unique_ptr<EventLoop> m_loop = std::make_unique<EventLoop>();
  bool m_isFirstLost = false;
  bool m_isSuccessorLost = false;

  kj::Promise<void> Serve(
    const char* aAddress, std::vector<std::string> aMembers, bool& aIsLost)
  {
    return control::Listen(kj::heap<Leader>(std::move(aMembers), aIsLost),
                           *m_loop->m_io.provider,
                           aAddress,
                           http::ClientLimits{})
      .eagerlyEvaluate(nullptr);
  }

  jobs::QueueOutcome Call(entry::LeaderClient & aClient)
  {
    return aClient.Call(jobs::QueueCall{})
      .wait(m_loop->m_io.waitScope)
      .m_outcome;
  }

  /** Connections that are still open refer to the event loop. */
  void teardown() override
  {
    m_loop->m_io.provider->getTimer()
      .afterDelay(100 * kj::MILLISECONDS)
      .wait(m_loop->m_io.waitScope);
  }
};

// Guards against an entry that finds no leader any more, once all machines that
// it was started with have been replaced.
TEST(LeaderClient, AllSeedsAreReplaced_CallsReachASuccessor)
{
  entry::LeaderClient client(*m_loop->m_io.provider, { kFirst });
  auto first = Serve(kFirst, { kFirst, kSuccessor }, m_isFirstLost);
  auto successor = Serve(kSuccessor, { kSuccessor }, m_isSuccessorLost);
  CHECK(Call(client) == jobs::QueueOutcome::kOk);
  m_isFirstLost = true;
  CHECK(Call(client) == jobs::QueueOutcome::kOk);
}
