#include "decode.h"

#include "bamboostile/wire/queue_codec.h"

#include "check.h"
#include "job_fixtures.h"

#include <capnp/message.h>
#include <nlohmann/json.hpp>

using namespace bamboostile;
using namespace job_fixtures;
using Json = nlohmann::json;

namespace {

constexpr std::size_t kMaxSpecBytes = 4000;

/** Texts that a JSON string may hold and that C strings or encoders change. */
std::vector<std::string>
UnusualTexts()
{
  std::string controls;
  for (char c = 0; c < ' '; ++c) {
    controls += c;
  }
  return { std::string(1, '\0'),
           std::string("a\0x", 3),
           std::string("end\0", 4),
           controls,
           "\x7f\"\\/",
           "\xc3\xa9 \xef\xbf\xbf \xf0\x9f\x98\x80",
           std::string(kMaxSpecBytes, '\0') };
}

} // namespace

/** A job and its task's checkpoint on their way from the caller to the worker:
 * HTTP, entry to leader, log, snapshot, order. */
TEST_GROUP(Texts)
{
  static jobs::JobSpec ReadSpec(const Json& aBody)
  {
    platform::InvalidField invalid;
    const auto spec = platform::ReadJob(aBody.dump(), invalid);
    CHECK(spec.has_value());
    return *spec;
  }

  static jobs::JobSpec PassToLeader(const jobs::JobSpec& aSpec)
  {
    jobs::QueueCall call;
    call.m_kind = jobs::CallKind::kSubmit;
    call.m_spec = aSpec;
    capnp::MallocMessageBuilder message;
    wire::Write(call, message.initRoot<schema::QueueCall>());
    return wire::Read(message.getRoot<schema::QueueCall>().asReader()).m_spec;
  }

  /** Applies the change as replicas do that read it from their logs. */
  void Commit(const jobs::Change& aChange)
  {
    const auto command = fleet::DecodeCommand(
      fleet::EncodeCommand(jobs::Batch{ { aChange } }, fleet::kStateVersion));
    CHECK(command.has_value());
    m_fleet.Do(*command);
    m_fleet.Restore();
  }

  placement::WorkerReport Report(const Json& aFinished)
  {
    const Json body{ { "service", "desk" },
                     { "address", "10.0.0.9:80" },
                     { "zone", "z" },
                     { "version", "v1" },
                     { "capacity", 8 },
                     { "warmup_left_ms", 0 },
                     { "labels", { "a", "r1-3" } },
                     { "clock_ms", 5000 },
                     { "state", "ready" },
                     { "machine", "m1" },
                     { "seq", ++m_sequence },
                     { "free_capacity",
                       { { "cpu", 4000 }, { "mem_mb", 4000 }, { "gpu", 0 } } },
                     { "active", Json::array() },
                     { "finished", aFinished } };
    platform::InvalidField invalid;
    const auto report = platform::ReadReport("w", body.dump(), invalid);
    CHECK(report.has_value());
    return *report;
  }

  /** Exchanges a report and returns the row of the only start in the answer. */
  Json AwaitStart(const Json& aFinished, std::uint32_t aRun)
  {
    const auto result = m_workers.OnReport(
      Report(aFinished), m_fleet.Book(), At(60'000), WallTime{ 60'000 });
    for (const jobs::EndRun& end : result.m_ends) {
      Commit(end);
    }
    Commit(jobs::StartRun{ Ref("a"), RunNumber{ aRun }, Life("w") });
    const auto orders = Json::parse(platform::WriteOrders(
      m_workers.Answer(Life("w"), m_fleet.Book(), At(60'000)), Term{ 1 }, ""));
    CHECK(orders.contains("start"));
    return orders["start"][0];
  }

  static void CheckSame(const std::string& aExpected, const std::string& aText)
  {
    CHECK(aExpected == aText);
  }

  Fleet m_fleet;
  placement::WorkerTable m_workers{ {}, At(0) };
  std::uint64_t m_sequence = 0;
};

// Guards against workers that are told to start something else than was asked
// for, or to resume from elsewhere: texts cut at U+0000.
TEST(Texts, SpecAndCheckpointAreUnusual_WorkerGetsTheirBytes)
{
  for (const std::string& text : UnusualTexts()) {
    m_fleet = Fleet{};
    m_workers = placement::WorkerTable{ {}, At(0) };
    const Json step{ { "count", 1 }, { "cpu", 500 }, { "mem_mb", 256 } };
    const auto spec = PassToLeader(
      ReadSpec({ { "spec", text }, { "steps", Json::array({ step }) } }));
    Commit(jobs::Submit{ JobId{ "a" }, QueueId{ "host/q/" }, spec, {}, {} });
    CheckSame(text, AwaitStart(Json::array(), 1)[2]);
    const Json end = { 1, "a.0.0.0", 1, "failed", text };
    const Json second = AwaitStart(Json::array({ end }), 2);
    CheckSame(text, second[2]);
    CheckSame(text, second[3]);
  }
}

// Guards against tasks that run on workers without the label, or whose image
// is taken for another one.
TEST(Texts, LabelRackAndImageAreUnusual_StateKeepsTheirBytes)
{
  for (const std::string& text : UnusualTexts()) {
    m_fleet = Fleet{};
    const Json step{ { "count", 1 },
                     { "requires", text },
                     { "affinity", text },
                     { "image", text } };
    const auto spec = PassToLeader(
      ReadSpec({ { "spec", "s" }, { "steps", Json::array({ step }) } }));
    Commit(jobs::Submit{ JobId{ "a" }, QueueId{ "host/q/" }, spec, {}, {} });
    const jobs::StepSpec& kept =
      m_fleet.Book().Find(JobId{ "a" })->m_spec.m_steps[0];
    CheckSame(text, kept.m_requiredLabel);
    CheckSame(text, kept.m_preferredRack.Get());
    CheckSame(text, kept.m_image.Get());
  }
}

// Guards against ids of workers, instances and workspaces and reasons that
// change in the log or in a snapshot.
TEST(Texts, IdsAndReasonsAreUnusual_StateKeepsTheirBytes)
{
  for (const std::string& text : UnusualTexts()) {
    m_fleet = Fleet{};
    Commit(jobs::Submit{ JobId{ text },
                         QueueId{ "host/q/" },
                         Spec({ Step(1) }),
                         {},
                         WorkspaceId{ text } });
    Commit(jobs::StartRun{ Ref(text), RunNumber{ 1 }, Life(text) });
    const jobs::Job* job = m_fleet.Book().Find(JobId{ text });
    CHECK(job != nullptr);
    CheckSame(text, job->m_workspace.Get());
    CheckSame(text, m_fleet.Book().FindTask(Ref(text))->m_worker.m_id.Get());
    Commit(jobs::FailJob{ JobId{ text }, text, {} });
    CheckSame(text, m_fleet.Book().Find(JobId{ text })->m_reason);
  }
}
