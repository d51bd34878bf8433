#include <CLI/CLI.hpp>

#include "benchmarks.h"

int main(int argc, char** argv) {
  CLI::App app{"Prints the tables of docs/MEASUREMENTS.md."};
  app.require_subcommand(1);
  using namespace sycamorestall::bench;  // NOLINT
  app.add_subcommand("decisions", "Processor time of the core per request.")
      ->callback(MeasureDecisions);
  app.add_subcommand("placement", "Placement policies compared.")->callback(MeasurePlacement);
  app.add_subcommand("capacity", "How costs grow with the size of a deployment.")
      ->callback(MeasureCapacity);
  app.add_subcommand("path", "Requests through daemons compared with direct ones.")
      ->callback(MeasurePath);
  CLI11_PARSE(app, argc, argv);
  return 0;
}
