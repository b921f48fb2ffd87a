#include "bamboostile/json/fields.h"

#include "check.h"

using namespace bamboostile;

namespace {

constexpr std::size_t kManyValues = std::size_t{ 300 } * 1024;

std::string
ListOf(std::size_t aCount, const std::string& aValue)
{
  std::string list = "[" + aValue;
  for (std::size_t i = 1; i < aCount; ++i) {
    list += "," + aValue;
  }
  return list + "]";
}

} // namespace

TEST_GROUP(JsonFields){};

// Guards against bodies that take many times their bytes once parsed.
TEST(JsonFields, BodyHasTooManyValues_IsDiscarded)
{
  CHECK(json::ParseUntrusted(std::string(kManyValues, '[')).is_discarded());
  CHECK(json::ParseUntrusted(ListOf(kManyValues, "{}")).is_discarded());
  CHECK(json::ParseUntrusted(ListOf(kManyValues, "0")).is_discarded());
}

TEST(JsonFields, LongTextsHoldBracketsAndQuotes_AreRead)
{
  const std::string text(kManyValues, ',');
  const json::Json list = json::ParseUntrusted(
    R"(["a\"[[", ")" + text + R"(", "\\", ")" + text + R"("])");
  LONGS_EQUAL(4, list.size());
}

TEST(JsonFields, LargeBodyOfUsualValues_IsRead)
{
  const std::string row =
    R"(["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41])";
  LONGS_EQUAL(40'000, json::ParseUntrusted(ListOf(40'000, row)).size());
}

// Guards against a process that ends as it copies or writes what it has read:
// both recurse, and overrun the stack.
TEST(JsonFields, BodyIsNestedDeep_IsDiscarded)
{
  const auto nested = [](std::size_t aDepth, const std::string& aInner) {
    return std::string(aDepth, '[') + aInner + std::string(aDepth, ']');
  };
  CHECK(json::ParseUntrusted(nested(250'000, "")).is_discarded());
  CHECK(json::ParseUntrusted(nested(33, "")).is_discarded());
  CHECK(json::ParseUntrusted(nested(31, R"({"a":{}})")).is_discarded());
  CHECK(json::ParseUntrusted(nested(32, "")).is_array());
  CHECK(json::ParseUntrusted(nested(31, R"("[[\"{{")")).is_array());
  std::string list = "[";
  for (int i = 0; i < 100; ++i) {
    list += nested(20, "") + ",";
  }
  LONGS_EQUAL(101, json::ParseUntrusted(list + "0]").size());
}
