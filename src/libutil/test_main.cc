#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

// Disables the leak detector of CppUTest: it reports static objects of
// rapidcheck as leaks and fails tests that do not leak. The asan preset detects
// leaks instead.
int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
