#include "check.h"

#include <memory>
#include <thread>
#include <vector>

TEST_GROUP(TestProgram){};

// Whoever runs the process tests sees one run in eight crash, or hang, or
// report a leak. CppUTest replaces new and delete by versions that keep a list
// of allocations without a lock; the HTTP client's thread and the callers'
// threads change that list at the same time. Here eight threads do nothing
// else.
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
