#include "bamboostile/fleet/routes.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::fleet;

TEST_GROUP(RouteTable)
{
  RouteTable m_table;

  void setup() override
  {
    m_table.m_version = 1;
    m_table.m_services.push_back({ ServiceId{ "s" }, true, false });
    Add("a", "host", "/p/");
  }

  QueueRoute& Add(const char* aName, const char* aHost, const char* aPrefix)
  {
    QueueRoute& route = m_table.m_routes.emplace_back();
    route.m_name = aName;
    route.m_host = aHost;
    route.m_pathPrefix = aPrefix;
    route.m_service = ServiceId{ "s" };
    route.m_timeout = Millis{ 1 };
    return route;
  }

  std::string FindName(const std::string& aHost, const std::string& aPath)
  {
    const auto found = RouteIndex(m_table).Find(aHost, aPath);
    return found ? m_table.m_routes[*found].m_name : "";
  }
};

TEST(RouteTable, LongestPrefixOfTheHost_IsFound)
{
  Add("long", "host", "/p/q/");
  Add("other", "other", "/p/q/r/");
  CHECK_STRING("long", FindName("host", "/p/q/r/id"));
  CHECK_STRING("a", FindName("host", "/p/id"));
  CHECK_STRING("", FindName("host", "/x"));
  CHECK_STRING("", FindName("unknown", "/p/id"));
}

TEST(RouteTable, ValidTable_HasNoProblem)
{
  CHECK(ValidateRoutes(m_table).m_problem == RouteProblem::kNone);
}

TEST(RouteTable, UnknownService_IsFound)
{
  m_table.m_routes[0].m_service = ServiceId{ "none" };
  const RouteValidation finding = ValidateRoutes(m_table);
  CHECK(finding.m_problem == RouteProblem::kUnknownService);
  CHECK_STRING("a", finding.m_name);
}

TEST(RouteTable, SameHostAndPrefixTwice_IsFound)
{
  Add("b", "host", "/p/");
  CHECK(ValidateRoutes(m_table).m_problem == RouteProblem::kDuplicateRoute);
}

TEST(RouteTable, TimeoutOfZero_IsFound)
{
  m_table.m_routes[0].m_timeout = Millis{ 0 };
  CHECK(ValidateRoutes(m_table).m_problem == RouteProblem::kNoTimeout);
}
