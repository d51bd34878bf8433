#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

// Random tests use a fixed seed unless RC_PARAMS says otherwise, so that a run
// gives the same verdict every time.
int main(int argc, char** argv) {
  setenv("RC_PARAMS", "seed=20261204 max_success=100 verbose_progress=0", 0);
  doctest::Context context(argc, argv);
  return context.run();
}
