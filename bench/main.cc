#include <CLI/CLI.hpp>

#include "benchmarks.h"

int main(int argc, char** argv) {
  CLI::App app{"Prints the tables of docs/MEASUREMENTS.md."};
  app.require_subcommand(1);
  using namespace sycamorestall::bench;  // NOLINT
  app.add_subcommand("decisions", "Cost of the core's decisions.")->callback(MeasureDecisions);
  app.add_subcommand("placement", "Placement against its baselines.")->callback(MeasurePlacement);
  app.add_subcommand("capacity", "How costs grow with sizes.")->callback(MeasureCapacity);
  app.add_subcommand("path", "The path against the endpoints.")->callback(MeasurePath);
  CLI11_PARSE(app, argc, argv);
  return 0;
}
