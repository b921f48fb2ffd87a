#include "decode.h"

#include "bamboostile/workspaces/key_digest.h"

#include "check.h"

using namespace bamboostile;

TEST_GROUP(PlatformDecode)
{
  platform::InvalidField m_invalid;

  void CheckBadJob(const char* aField, const std::string& aBody)
  {
    CHECK(!platform::ReadJob(aBody, m_invalid));
    CHECK_STRING(aField, m_invalid.m_field);
  }

  void CheckBadRoutes(const char* aField, const std::string& aBody)
  {
    CHECK(!platform::ReadRoutes(aBody, m_invalid));
    CHECK_STRING(aField, m_invalid.m_field);
  }

  static std::string Routes(const std::string& aRoute)
  {
    return R"({"version":3,"services":[{"name":"s"}],"routes":[)" + aRoute +
           "]}";
  }
};

TEST(PlatformDecode, WholeJob_IsRead)
{
  const auto spec = platform::ReadJob(
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,
        "estimate_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,
        "depends_on":[0],"saves_progress":true,"miss_allowed":1}]})",
    m_invalid);
  CHECK(spec.has_value());
  CHECK_STRING("text", spec->m_payload);
  LONGS_EQUAL(2, spec->m_steps.size());
  CHECK_STRING("r1-3", spec->m_steps[0].m_preferredRack.Get());
  CHECK(!spec->m_steps[0].m_disruptionBudget.has_value());
  CHECK(spec->m_steps[1].m_dependsOn == std::vector<std::uint32_t>{ 0 });
  LONGS_EQUAL(1, *spec->m_steps[1].m_disruptionBudget);
}

TEST(PlatformDecode, BadJobs_NameTheField)
{
  CheckBadJob("(body)", R"({"spec":"cut off)");
  CheckBadJob("(body)", "[]");
  CheckBadJob("steps", R"({"spec":"x"})");
  CheckBadJob("steps", R"({"steps":[]})");
  CheckBadJob("count", R"({"steps":[{"cpu":1}]})");
  CheckBadJob("count", R"({"steps":[{"count":-1}]})");
  CheckBadJob("cpu", R"({"steps":[{"count":1,"cpu":"many"}]})");
  CheckBadJob("cpu", R"({"steps":[{"count":1,"cpu":1e30}]})");
  CheckBadJob("mem_mb", R"({"steps":[{"count":1,"mem_mb":4294967296}]})");
  CheckBadJob("depends_on", R"({"steps":[{"count":1,"depends_on":[0]}]})");
  CheckBadJob("gang", R"({"steps":[{"count":1,"gang":1}]})");
  CheckBadJob("spec",
              R"({"spec":")" + std::string(4001, 'x') +
                R"(","steps":[{"count":1}]})");
}

TEST(PlatformDecode, BadRoutes_NameTheField)
{
  CheckBadRoutes("(body)", R"({"version":3,"rou)");
  CheckBadRoutes("routes", R"({"version":3,"services":[]})");
  CheckBadRoutes("version", R"({"version":0,"services":[],"routes":[]})");
  CheckBadRoutes("service",
                 Routes(R"({"name":"r","host":"h","path_prefix":"/p/"})"));
  CheckBadRoutes("r", Routes(R"({"name":"r","host":"h","path_prefix":"/p/",
    "service":"none","timeout_ms":5})"));
  CheckBadRoutes("r", Routes(R"({"name":"r","host":"h","path_prefix":"/p/",
    "service":"s","timeout_ms":0})"));
}

TEST(PlatformDecode, Report_IsReadIntoOwnTypes)
{
  const auto report = platform::ReadReport(
    "i-1",
    R"({"service":"s","zone":"z","state":"draining","machine":"m-1","seq":4,
        "address":"10.0.0.9:80","capacity":8,"version":"v1",
        "warmup_left_ms":0,"clock_ms":482113,
        "free_capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
        "labels":["a","r1-3"],"remaining_ms":1200,"born":1791418000123,
        "active":[["5c0e.7.1.17",2,"saved",41,12.6]],
        "finished":[[58,"5c0e.0.1.9",1,"lapsed",""]]})",
    m_invalid);
  CHECK(report.has_value());
  CHECK_STRING("m-1", report->m_instance.Get());
  CHECK_STRING("r1-3", report->m_rack.Get());
  CHECK(report->m_draining);
  LONGS_EQUAL(1791418000123, report->m_worker.m_startedAt.Get());
  const placement::RunReport& run = report->m_active.at(0);
  CHECK_STRING("5c0e", run.m_task.m_job.Get());
  LONGS_EQUAL(7, run.m_task.m_occurrence);
  LONGS_EQUAL(1, run.m_task.m_step);
  LONGS_EQUAL(17, run.m_task.m_index);
  LONGS_EQUAL(12, run.m_load);
  CHECK(report->m_ended.at(0).m_endReason == jobs::RunEnd::kLeaseExpired);
}

TEST(PlatformDecode, ListedInstance_NamesItsWorker)
{
  const auto page = platform::ReadInstances(
    R"({"machines":[{"machine":"m-1","pool":"s","state":"up","id":"i-1"},
        {"machine":"m-2","pool":"s","state":"down"}],"next_token":"t"})",
    m_invalid);
  CHECK(page.has_value());
  CHECK_STRING("i-1", page->m_instances.at(0).m_worker.Get());
  CHECK(page->m_instances.at(1).m_state == placement::InstanceState::kDown);
  CHECK_STRING("", page->m_instances.at(1).m_worker.Get());
}

TEST(PlatformDecode, BadReports_NameTheField)
{
  const auto rejects = [&](const char* aField, const char* aBody) {
    CHECK(!platform::ReadReport("i-1", aBody, m_invalid));
    CHECK_STRING(aField, m_invalid.m_field);
  };
  rejects("service", R"({"state":"ready"})");
  rejects("state", R"({"service":"s","state":"asleep"})");
  rejects("active",
          R"({"service":"s","state":"ready","active":[["x",1,"",3]]})");
  rejects("active", R"({"service":"s","state":"ready","active":[[1]]})");
  for (const char* born :
       { "1.5", "-1", "\"1\"", "1e30", "4503599627370497" }) {
    rejects(
      "born",
      (R"({"service":"s","state":"ready","born":)" + std::string(born) + "}")
        .c_str());
  }
  rejects("finished",
          R"({"service":"s","state":"ready",
              "finished":[[1,"a.0.0.0",1,"vanished",""]]})");
}

// Guards against tasks that are placed on the writer of such a heartbeat.
TEST(PlatformDecode, HeartbeatThatNamesNoWorker_IsRejected)
{
  const auto rejects = [&](const char* aField, const std::string& aFields) {
    const std::string body =
      R"({"service":"s","zone":"z","state":"ready","seq":4)" + aFields + "}";
    CHECK(!platform::ReadReport("i-1", body, m_invalid));
    CHECK_STRING(aField, m_invalid.m_field);
  };
  rejects("address", R"(,"capacity":8)");
  rejects("address", R"(,"capacity":8,"address":"")");
  rejects("address", R"(,"capacity":8,"address":7)");
  rejects("capacity", R"(,"address":"10.0.0.9:80")");
  rejects("capacity", R"(,"address":"10.0.0.9:80","capacity":"8")");
}

// Guards against tasks that are placed on a writer that sends all fields but
// one, or one with another type.
TEST(PlatformDecode, HeartbeatWithOneFieldMissingOrOfOtherType_IsRejected)
{
  const json::Json heartbeat =
    json::Json::parse(R"({"service":"s","address":"10.0.0.9:80","zone":"z",
        "version":"v1","capacity":8,"state":"ready","warmup_left_ms":0,
        "machine":"m-1","free_capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
        "labels":["a","r1-3"],"clock_ms":482113,"seq":4,"active":[],
        "finished":[]})");
  const auto isRejected = [&](const json::Json& aBody, const char* aField) {
    return !platform::ReadReport("i-1", aBody.dump(), m_invalid) &&
           m_invalid.m_field == aField;
  };
  CHECK(platform::ReadReport("i-1", heartbeat.dump(), m_invalid).has_value());
  const json::Json other = json::Json::parse(R"({"a":1.5})");
  for (const auto& [field, value] : heartbeat.items()) {
    json::Json body = heartbeat;
    body[field] = field == "free_capacity" ? json::Json{ "a" } : other;
    CHECK_TEXT(isRejected(body, field.c_str()), field.c_str());
    body.erase(field);
    CHECK_TEXT(isRejected(body, field.c_str()), field.c_str());
  }
  for (const char* resource : { "cpu", "mem_mb", "gpu" }) {
    json::Json body = heartbeat;
    body["free_capacity"][resource] = "many";
    CHECK_TEXT(isRejected(body, resource), resource);
    body["free_capacity"].erase(resource);
    CHECK_TEXT(isRejected(body, resource), resource);
  }
}

// Guards against passes that take seconds, and with them the leader's lease:
// each visits all dependencies of a step.
TEST(PlatformDecode, StepDependsOnOneStepManyTimes_DependencyIsKeptOnce)
{
  json::Json body = json::Json::parse(
    R"({"spec":"t","steps":[{"count":1},{"count":1},{"count":1}]})");
  body["steps"][2]["depends_on"] = std::vector<int>(100'000, 0);
  body["steps"][2]["depends_on"].push_back(1);
  const auto spec = platform::ReadJob(body.dump(), m_invalid);
  CHECK(spec.has_value());
  const std::vector<std::uint32_t> expected{ 0, 1 };
  CHECK(spec->m_steps[2].m_dependsOn == expected);
}

// Guards against replicas over their memory, as runs and losses carry the ids,
// and against answers that cannot be written, as JSON has to be UTF-8.
TEST(PlatformDecode, IdOfWorkerOrMachineIsLongOrNoText_IsRejected)
{
  json::Json heartbeat =
    json::Json::parse(R"({"service":"s","address":"10.0.0.9:80","zone":"z",
        "version":"v1","capacity":8,"state":"ready","warmup_left_ms":0,
        "machine":"m-1","free_capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
        "labels":["a","r1-3"],"clock_ms":482113,"seq":4,"active":[],
        "finished":[]})");
  for (const std::string& id :
       { std::string(129, 'i'), std::string{ "i\xff" }, std::string{ "" } }) {
    CHECK(!platform::ReadReport(id, heartbeat.dump(), m_invalid));
    CHECK_STRING("id", m_invalid.m_field);
    CHECK(!platform::ReadLeave(id, "", m_invalid));
    CHECK_STRING("id", m_invalid.m_field);
  }
  CHECK(platform::ReadReport(std::string(128, 'i'), heartbeat.dump(), m_invalid)
          .has_value());
  heartbeat["machine"] = std::string(129, 'm');
  CHECK(!platform::ReadReport("i-1", heartbeat.dump(), m_invalid));
  CHECK_STRING("machine", m_invalid.m_field);
}

// Guards against a list that proves the end of a worker whose entry lacks its
// id.
TEST(PlatformDecode, ListedInstanceWithoutWorkerOrKnownState_IsCounted)
{
  const auto page = platform::ReadInstances(
    R"({"machines":[{"machine":"m-1","pool":"s","state":"up","id":"i-1"},
        {"machine":"m-2","pool":"s","state":"up","id":""},
        {"machine":"m-3","pool":"s","state":"up"},
        {"machine":"m-4","pool":"s","state":"asleep","id":"i-4"}]})",
    m_invalid);
  LONGS_EQUAL(4, page->m_instances.size());
  LONGS_EQUAL(0, page->m_unreadableCount);
  LONGS_EQUAL(2, page->m_unnamedWorkerCount);
}

TEST(PlatformDecode, Leave_NamesIncarnationOrInvalidField)
{
  const auto incarnation =
    platform::ReadLeave("i-1", R"({"born":5000000000})", m_invalid);
  CHECK(incarnation ==
        (WorkerIncarnation{ WorkerId{ "i-1" }, WallTime{ 5'000'000'000 } }));
  CHECK(!platform::ReadLeave("i-1", "", m_invalid)->HasStartTime());
  CHECK(!platform::ReadLeave("i-1", R"({"born":"x"})", m_invalid));
  CHECK_STRING("born", m_invalid.m_field);
}

TEST(PlatformDecode, AnswersToMaintenance_AreToldApart)
{
  using placement::InstanceAnswer;
  CHECK(platform::ReadInstanceAnswer(200, "{}") == InstanceAnswer::kAccepted);
  CHECK(platform::ReadInstanceAnswer(409, R"({"reason":"busy"})") ==
        InstanceAnswer::kBusy);
  CHECK(platform::ReadInstanceAnswer(409, R"({"reason":"fence"})") ==
        InstanceAnswer::kSuperseded);
  CHECK(platform::ReadInstanceAnswer(409, "cut off") ==
        InstanceAnswer::kUnclear);
  CHECK(platform::ReadInstanceAnswer(429, "") == InstanceAnswer::kUnclear);
  CHECK(platform::ReadInstanceAnswer(503, "") == InstanceAnswer::kUnclear);
}

TEST(PlatformDecode, Tenants_AreReadAsWorkspaces)
{
  const auto table = platform::ReadRoutes(
    R"({"version":3,"services":[{"name":"s"}],"routes":[{"name":"r",
        "host":"h","path_prefix":"/p/","service":"s","timeout_ms":1,
        "public":true}],"tenants":[{"name":"t","api_keys":["k1","k2"],
        "priority":1,"weight":2.5,"cap":{"cpu":9000,"mem_mb":8,"gpu":0}}]})",
    m_invalid);
  CHECK(table.has_value());
  CHECK(table->m_routes[0].m_isPublic);
  LONGS_EQUAL(1, table->m_workspaces->size());
  const workspaces::Workspace& workspace = table->m_workspaces->front();
  CHECK_STRING("t", workspace.m_id.Get());
  CHECK(workspace.m_keys[1] == workspaces::DigestKey("k2"));
  DOUBLES_EQUAL(2.5, workspace.m_weight, 0);
  CHECK((workspace.m_cap == workspaces::Resources{ 9000, 8, 0 }));
}

TEST(PlatformDecode, RoutesWithoutTenants_HaveNoWorkspaces)
{
  const auto table = platform::ReadRoutes(
    R"({"version":3,"services":[],"routes":[]})", m_invalid);
  CHECK(table.has_value());
  CHECK_FALSE(table->m_workspaces.has_value());
}

// Guards against errors that show an operator's keys in answers or logs.
TEST(PlatformDecode, BadTenants_NameTheFieldAndShowNoKey)
{
  const auto check = [&](const char* aField, const std::string& aTenants) {
    CheckBadRoutes(aField,
                   R"({"version":3,"services":[],"routes":[],"tenants":)" +
                     aTenants + "}");
    CHECK(json::ToJson(m_invalid).find("secret") == std::string::npos);
  };
  check("tenants", R"("secret")");
  check("tenants", R"(["secret"])");
  check("name", R"([{"api_keys":["secret"]}])");
  check("api_keys", R"([{"name":"a","api_keys":"secret"}])");
  check("api_keys", R"([{"name":"a","api_keys":[["secret"]]}])");
  check("weight", R"([{"name":"a","weight":"secret"}])");
  check("cap", R"([{"name":"a","cap":"secret"}])");
  check("cpu", R"([{"name":"a","cap":{"cpu":-1}}])");
  check("workspaces[0].weight", R"([{"name":"a","weight":-1}])");
  check("workspaces[0].keys", R"([{"name":"a","api_keys":[""]}])");
  check("workspaces[1].name", R"([{"name":"a"},{"name":"a"}])");
  check("workspaces[1].keys",
        R"([{"name":"a","api_keys":["secret"]},
            {"name":"b","api_keys":["x","secret"]}])");
}
