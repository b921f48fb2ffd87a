#include "bamboostile/jobs/memory_limit.h"

#include "check.h"

using namespace bamboostile::jobs;

TEST_GROUP(MemoryLimit){};

TEST(MemoryLimit, JobsFillTheirPart_NextOneIsRefused)
{
  const MemoryLimit limit{ std::size_t{ 260 } << 20 };
  const std::size_t max = limit.MaxAcceptedBytes();
  CHECK(limit.Assess(0, max) == MemoryVerdict::kFits);
  CHECK(limit.Assess(1, max) == MemoryVerdict::kFull);
  CHECK(limit.Assess(max, 1) == MemoryVerdict::kFull);
  CHECK(limit.Assess(2 * max, 1) == MemoryVerdict::kFull);
  CHECK(limit.Assess(0, max + 1) == MemoryVerdict::kNeverFits);
}

// Guards against accepted jobs that fill the memory which their tasks need.
TEST(MemoryLimit, JobsFillTheirPart_TasksHaveRoom)
{
  const MemoryLimit limit{ std::size_t{ 260 } << 20 };
  CHECK_COMPARE(limit.RoomForTasks(limit.MaxAcceptedBytes()), >=, 1024 * 1024);
  LONGS_EQUAL(0, limit.RoomForTasks(std::size_t{ 260 } << 20));
}

TEST(MemoryLimit, NoLimitIsSet_EverythingFits)
{
  const std::size_t much = std::size_t{ 1 } << 40;
  CHECK(MemoryLimit{}.Assess(much, much) == MemoryVerdict::kFits);
  CHECK_COMPARE(MemoryLimit{}.RoomForTasks(much), >, much);
}

TEST(MemoryLimit, LittleMemory_SomeJobsFit)
{
  CHECK(MemoryLimit{ 1 }.Assess(0, 64 * 1024) == MemoryVerdict::kFits);
}
