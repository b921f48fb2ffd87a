#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int
main(int aCount, char** aArguments)
{
  // CppUTest's own new and delete keep a list without a lock: tests whose
  // threads allocate at the same time crash, hang or report leaks that are
  // none. The sanitizers find real ones.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
