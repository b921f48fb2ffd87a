#include "check.h"

#include <memory>
#include <thread>
#include <vector>

TEST_GROUP(TestProgram){};

// Guards against the unlocked list of allocations that CppUTest's versions of
// new and delete keep. The HTTP client's thread and the callers' threads
// changed it at the same time, and one in eight runs of the process tests
// crashed, hung or reported a leak. Here, eight threads only allocate and free.
TEST(TestProgram, ManyThreadsAllocate_NothingBreaks)
{
  constexpr int kThreads = 8;
  constexpr int kRounds = 20'000;
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([]() {
      std::vector<std::unique_ptr<int>> kept;
      for (int round = 0; round < kRounds; ++round) {
        kept.push_back(std::make_unique<int>(round));
        if (kept.size() > 50) {
          kept.clear();
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}
