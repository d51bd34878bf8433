#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

// Property tests use a fixed seed unless RC_PARAMS sets another, so that runs are
// reproducible.
int main(int argc, char** argv) {
  setenv("RC_PARAMS", "seed=20261204 max_success=100 verbose_progress=0", 0);
  doctest::Context context(argc, argv);
  return context.run();
}
