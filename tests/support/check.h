#pragma once

// CppUTest's leak detection is off: it replaces `new` by a macro that breaks
// headers of other libraries, and the sanitizers find leaks better.
#include <CppUTest/TestHarness.h>

#include <string>

/** Compares std::strings; CppUTest's own check takes C strings. */
#define CHECK_STRING(aExpected, aActual)                                       \
  STRCMP_EQUAL(std::string(aExpected).c_str(), std::string(aActual).c_str())
