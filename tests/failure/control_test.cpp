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
AllVote(Processes& aProcesses)
{
  std::size_t voters = 0;
  const Json status = aProcesses.Status();
  const Json replicas = status.value("replicas", Json::array());
  for (const Json& one : replicas) {
    const bool synced = one.at("behind") == 0;
    voters += one.at("voter").get<bool>() && synced ? 1 : 0;
  }
  return voters == 3 && replicas.size() == 3;
}
}
;

// The power fails everywhere at once, after hundreds of changes. What was
// acknowledged is there again, and the configuration has not gone back.
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

// A replica comes back with an empty folder. It cannot vote: with one of the
// two others away, two processes run and there is no leader. Admitted and
// synced, it counts again, and the next loss right behind costs nothing.
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
  const auto alone = processes.Cli(
    { "pool", "put", "p3", "--service", "desk", "--patience-ms", "3000" });
  LONGS_EQUAL(3, alone.m_exit);
  processes.Signal("c2", SIGCONT);
  const auto admitted = [&]() {
    return processes.Cli({ "control", "add", processes.Rpc(3) }).m_exit == 0;
  };
  CHECK(processes.Until(admitted, kLimit));
  CHECK(processes.Until([&]() { return AllVote(processes); }, kLimit));
  processes.Kill("c1");
  std::filesystem::remove_all(processes.Folder() / "c1");
  CHECK(processes.Until(
    [&]() { return HasPool(processes, "p1") && HasPool(processes, "p2"); },
    kLimit));
  LONGS_EQUAL(0, PutPool(processes, "p4"));
}

// Two operators change the same pool, having seen the same revision. One wins;
// the other is refused, with the winner's name, and nothing of his is done.
TEST(Control, TwoOperators_EqualRevisions_ExactlyOneWins)
{
  Processes processes(22200);
  processes.StartAll();
  const Json pool = processes.Status().at("pools").at(0);
  const std::string seen =
    std::to_string(pool.at("change").at("revision").get<std::uint64_t>());
  const auto first = processes.Cli(
    { "pool", "drain", "old", "--expect", seen, "--operator", "anna" });
  const auto second = processes.Cli(
    { "pool", "resume", "old", "--expect", seen, "--operator", "ben" });
  LONGS_EQUAL(0, first.m_exit);
  LONGS_EQUAL(1, second.m_exit);
  CHECK(second.m_text.find("changed by anna") != std::string::npos);
  CHECK(processes.Status().at("pools").at(0).at("draining").get<bool>());
}

// The answer to a call is lost; it is sent again with its id after the leader
// changed, and after a full restart. It gets the first answer both times.
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
  const Json again = Json::parse(processes.Cli(call).m_text);
  CHECK(again.at("revision") == answer.at("revision"));
  CHECK(again.at("outcome") == "done");
  for (const std::string name : { "c1", "c2", "c3" }) {
    if (name != leader) {
      processes.Kill(name);
    }
    processes.StartControl(name.back() - '0');
  }
  const Json third = Json::parse(processes.Cli(call).m_text);
  CHECK(third.at("revision") == answer.at("revision"));
}

// A record in the middle of the log is damaged while the replica is down. It
// refuses to start, naming file and offset; the group goes on without it.
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

// An entry restarts without a disk. It serves only with the newest accepted
// configuration, never with an older one.
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

// Bad input ends with code 2 and names the field; nothing is changed by it.
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

// A replica is removed and put back by operator calls while requests flow.
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
  CHECK(processes.Until([&]() { return AllVote(processes); }, kLimit));
  const Json result = processes.CallerResult("load");
  LONGS_EQUAL(0, result.value("lost", 99));
  LONGS_EQUAL(0, result.value("doubled", 99));
  LONGS_EQUAL(400, result.value("served", 0));
}
