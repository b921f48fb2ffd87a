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
