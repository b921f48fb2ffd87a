#include "processes.h"

#include "check.h"

#include <csignal>
#include <fstream>
#include <thread>

using namespace bamboostile;
using test::Processes;
using Json = nlohmann::json;

namespace {

constexpr Millis kLimit{ 20'000 };

} // namespace

TEST_GROUP(Control){
  bool HasPool(Processes & aProcesses, const std::string& aPool){
    for (const Json& pool
         : aProcesses.Status().value("pools", Json::array())){
      if (pool.at("id") == aPool){ return true;
}
}
return false;
}

int
PutPool(Processes& aProcesses, const std::string& aPool)
{
  return aProcesses.Cli({ "pool", "put", aPool, "--service", "desk" }).m_exit;
}

bool
AllVoteAndAreSynced(Processes& aProcesses)
{
  std::size_t voters = 0;
  const Json status = aProcesses.Status();
  const Json replicas = status.value("replicas", Json::array());
  for (const Json& replica : replicas) {
    const bool synced = replica.at("behind") == 0;
    voters += replica.at("voter").get<bool>() && synced ? 1 : 0;
  }
  return voters == 3 && replicas.size() == 3;
}
}
;

// Guards against the loss of acknowledged changes, or a return to an older
// configuration, when all replicas are killed at once after hundreds of
// changes.
TEST(Control, AllKilledAtOnce_AfterHundredsOfChanges_StateIsBack)
{
  Processes processes(22000);
  processes.StartAll();
  for (int i = 0; i < 220; ++i) {
    LONGS_EQUAL(
      0,
      processes.Cli({ "config", "set", "note=n" + std::to_string(i) }).m_exit);
  }
  const Json before = processes.Status().at("config");
  for (int i = 1; i <= 3; ++i) {
    processes.Signal("c" + std::to_string(i), SIGKILL);
  }
  for (int i = 1; i <= 3; ++i) {
    processes.Wait("c" + std::to_string(i));
    processes.StartControl(i);
  }
  const auto isBack = [&]() {
    return processes.Status().value("config", Json{}) == before;
  };
  CHECK(processes.Until(isBack, kLimit));
  CHECK(processes.Status().at("snapshot").get<std::uint64_t>() >= 200);
}

// Guards against data loss when a second replica is lost right after the first
// came back with an empty folder. Until it is admitted and synced, it must not
// vote: with one of the two others frozen, two processes run without a leader.
TEST(Control, EmptyFolder_ThenSecondLoss_NothingAcknowledgedIsLost)
{
  Processes processes(22100);
  processes.StartAll();
  LONGS_EQUAL(0, PutPool(processes, "p1"));
  processes.Kill("c3");
  std::filesystem::remove_all(processes.Folder() / "c3");
  processes.StartControl(3);
  LONGS_EQUAL(0, PutPool(processes, "p2"));
  processes.Signal("c2", SIGSTOP);
  const auto withoutQuorum = processes.Cli(
    { "pool", "put", "p3", "--service", "desk", "--patience-ms", "3000" });
  LONGS_EQUAL(3, withoutQuorum.m_exit);
  processes.Signal("c2", SIGCONT);
  const auto admitted = [&]() {
    return processes.Cli({ "control", "add", processes.Rpc(3) }).m_exit == 0;
  };
  CHECK(processes.Until(admitted, kLimit));
  CHECK(
    processes.Until([&]() { return AllVoteAndAreSynced(processes); }, kLimit));
  processes.Kill("c1");
  std::filesystem::remove_all(processes.Folder() / "c1");
  CHECK(processes.Until(
    [&]() { return HasPool(processes, "p1") && HasPool(processes, "p2"); },
    kLimit));
  LONGS_EQUAL(0, PutPool(processes, "p4"));
}

// Guards against lost updates when two operators change the same pool from the
// same revision. The second change must be rejected as a whole, with the name
// of the first operator.
TEST(Control, TwoOperators_EqualRevisions_ExactlyOneWins)
{
  Processes processes(22200);
  processes.StartAll();
  const Json pool = processes.Status().at("pools").at(0);
  const std::string revision =
    std::to_string(pool.at("change").at("revision").get<std::uint64_t>());
  const auto first = processes.Cli(
    { "pool", "drain", "old", "--expect", revision, "--operator", "anna" });
  const auto second = processes.Cli(
    { "pool", "resume", "old", "--expect", revision, "--operator", "ben" });
  LONGS_EQUAL(0, first.m_exit);
  LONGS_EQUAL(1, second.m_exit);
  CHECK(second.m_text.find("changed by anna") != std::string::npos);
  CHECK(processes.Status().at("pools").at(0).at("draining").get<bool>());
}

// Guards against a call that is executed again when its answer is lost and it
// is resent under the same id, after a change of leader and after a full
// restart. Both times it must get the first answer.
TEST(Control, Call_ResentAfterLeaderChangeAndRestart_GetsFirstAnswer)
{
  Processes processes(22300);
  processes.StartAll();
  const std::vector<std::string> call{
    "pool",           "put",  "p1",    "--service", "desk", "--expect", "0",
    "--operation-id", "op-1", "--json"
  };
  const auto first = processes.Cli(call);
  LONGS_EQUAL(0, first.m_exit);
  const Json answer = Json::parse(first.m_text);
  const std::string leader = processes.LeaderName();
  processes.Kill(leader);
  const Json resentAfterLeaderChange = Json::parse(processes.Cli(call).m_text);
  CHECK(resentAfterLeaderChange.at("revision") == answer.at("revision"));
  CHECK(resentAfterLeaderChange.at("outcome") == "done");
  for (const std::string name : { "c1", "c2", "c3" }) {
    if (name != leader) {
      processes.Kill(name);
    }
    processes.StartControl(name.back() - '0');
  }
  const Json resentAfterRestart = Json::parse(processes.Cli(call).m_text);
  CHECK(resentAfterRestart.at("revision") == answer.at("revision"));
}

// Guards against a replica that starts with a damaged record in the middle of
// its log. It must refuse to start and name file and offset, while the group
// goes on without it.
TEST(Control, DamagedFolder_IsRefusedWithFileAndOffset_GroupGoesOn)
{
  Processes processes(22400);
  processes.StartAll();
  for (int i = 0; i < 10; ++i) {
    PutPool(processes, "p" + std::to_string(i));
  }
  processes.Kill("c3");
  const auto log = processes.Folder() / "c3" / "log-1";
  const auto size = std::filesystem::file_size(log);
  {
    std::fstream file(log, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(size / 2));
    file.write("XXXXXXXX", 8);
  }
  processes.StartControl(3);
  LONGS_EQUAL(1, processes.Wait("c3"));
  std::ifstream in(processes.Folder() / "c3.log");
  const std::string text{ std::istreambuf_iterator<char>(in), {} };
  CHECK(text.find("log-1 at offset") != std::string::npos);
  LONGS_EQUAL(0, PutPool(processes, "after"));
}

// Guards against an entry that serves with an old configuration after a
// restart, since it has no disk. It must wait for the newest accepted one.
TEST(Control, Config_ThroughEntryRestart_NeverGoesBack)
{
  Processes processes(22500);
  processes.StartAll();
  std::uint64_t last = 0;
  for (int i = 0; i < 5; ++i) {
    const auto set = processes.Cli(
      { "config", "set", "note=v" + std::to_string(i), "--json" });
    const Json reply = Json::parse(set.m_text);
    CHECK(reply.at("inForce").get<bool>());
    last = reply.at("revision");
    processes.Kill("e1");
    processes.StartEntry(1);
    const auto ready = [&]() {
      const auto probe =
        processes.Http(processes.EntryHttp(1), "GET", "/readyz");
      if (probe.m_response.m_status != 200) {
        return false;
      }
      const Json body = Json::parse(probe.m_response.m_body);
      CHECK(body.at("revision").get<std::uint64_t>() >= last);
      return true;
    };
    CHECK(processes.Until(ready, kLimit));
  }
}

// Guards against invalid input that is accepted or reported unclearly. The
// command must exit with code 2, name the field and change nothing.
TEST(Control, BadInput_ExitsWithTwoAndNamesTheField)
{
  Processes processes(22600);
  processes.StartAll();
  const auto before = processes.Status().at("commit");
  const auto percent = processes.Cli(
    { "service", "put", "x", "--max-unavailable-percent", "150" });
  LONGS_EQUAL(2, percent.m_exit);
  CHECK(percent.m_text.find("maxUnavailablePercent") != std::string::npos);
  const auto name =
    processes.Cli({ "pool", "put", "a b", "--service", "desk" });
  LONGS_EQUAL(2, name.m_exit);
  CHECK(name.m_text.find("putPool.pool") != std::string::npos);
  LONGS_EQUAL(2, processes.Cli({ "nonsense" }).m_exit);
  const auto file = processes.Folder() / "calls.json";
  std::ofstream(file) << R"({"calls": [{"putPol": {}}]})";
  const auto apply = processes.Cli({ "apply", file.string() });
  LONGS_EQUAL(2, apply.m_exit);
  CHECK(apply.m_text.find("putPol") != std::string::npos);
  const auto field = processes.Cli({ "config", "set", "panicPercent=abc" });
  LONGS_EQUAL(2, field.m_exit);
}

// Guards against lost or doubled requests while operator calls remove a replica
// and add it again.
TEST(Control, ReplicaRemovedAndAdded_UnderTraffic_NothingIsDisturbed)
{
  Processes processes(22700);
  processes.StartAll();
  for (int i = 1; i <= 3; ++i) {
    processes.StartUpstream(i, "desk");
  }
  CHECK(processes.Until(
    [&]() { return processes.Status().at("instances").size() == 3; }, kLimit));
  processes.StartCaller("load", { "--count", "400", "--pause-ms", "20" });
  const std::string leader = processes.LeaderName();
  const std::string other = leader == "c3" ? "c2" : "c3";
  const auto removed = [&]() {
    return processes.Cli({ "control", "remove", other }).m_exit == 0;
  };
  CHECK(processes.Until(removed, kLimit));
  CHECK(processes.Until(
    [&]() { return processes.Status().at("replicas").size() == 2; }, kLimit));
  const auto added = [&]() {
    return processes
             .Cli({ "control", "add", processes.Rpc(other.back() - '0') })
             .m_exit == 0;
  };
  CHECK(processes.Until(added, kLimit));
  CHECK(
    processes.Until([&]() { return AllVoteAndAreSynced(processes); }, kLimit));
  const Json result = processes.CallerResult("load");
  LONGS_EQUAL(0, result.value("lost", 99));
  LONGS_EQUAL(0, result.value("doubled", 99));
  LONGS_EQUAL(400, result.value("served", 0));
}
