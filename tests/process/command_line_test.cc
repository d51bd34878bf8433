#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "process/deployment.h"

using namespace sycamorestall::testing;  // NOLINT

namespace {

// The exit status of a command with its standard and error output.
struct CommandResult {
  int status = -1;
  std::string output;
};

CommandResult RunCommand(const std::string& arguments) {
  const std::string output_path =
      (std::filesystem::temp_directory_path() / ("sycamorestall-run-" + std::to_string(getpid())))
          .string();
  const std::string command_line =
      std::string(BUILD_FOLDER) + "/sycamorestall " + arguments + " >" + output_path + " 2>&1";
  const int status = std::system(command_line.c_str());
  std::ifstream stream(output_path);
  std::ostringstream text;
  text << stream.rdbuf();
  std::filesystem::remove(output_path);
  return {WEXITSTATUS(status), text.str()};
}

std::string WriteTempFile(const std::string& name, const std::string& text) {
  std::string path = (std::filesystem::temp_directory_path() / name).string();
  std::ofstream(path) << text;
  return path;
}

}  // namespace

TEST_CASE("command line errors are explained and have distinct exit statuses") {
  struct Row {
    std::string name;
    std::string arguments;
    int status;
    std::string output;
  };
  const std::string invalid_file =
      WriteTempFile("sycamorestall-bad.toml", "[daemon]\ninstance = 5\n");
  const Row rows[] = {
      {"help", "--help", 0, "check-config"},
      {"version", "--version", 0, "sycamorestall 0.2.0"},
      {"help of a command", "plans apply --help", 0, "--expect-version"},
      {"no command", "", 2, "subcommand"},
      {"unknown command", "fly", 2, "subcommand"},
      {"missing argument", "explain fern", 2, "--service"},
      {"no such file", "check-config /nonexistent.toml", 3, "/nonexistent.toml:0: cannot be read"},
      {"bad settings", "check-config " + invalid_file, 3,
       invalid_file + ":2: daemon.instance: must be a string"},
      {"serve with bad settings", "serve --config " + invalid_file, 3, ":2: daemon.instance"},
      {"no daemon running", "status --daemon http://127.0.0.1:1", 6, "no connection"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const CommandResult result = RunCommand(row.arguments);
    CHECK(result.status == row.status);
    CHECK(result.output.find(row.output) != std::string::npos);
  }
  std::filesystem::remove(invalid_file);
}

TEST_CASE("operators change and read documents on the command line") {
  Deployment deployment{DeploymentOptions{{"north"}, 2, 1, true, 1000, 6}};
  REQUIRE(deployment.WaitUntilServed());
  const std::string daemon = " --daemon " + deployment.origins().front();
  const std::string plans =
      WriteTempFile("sycamorestall-plans.toml", "[plans.large]\nweight = 2\n");
  const std::string invalid_file =
      WriteTempFile("sycamorestall-wrong.toml", "[plans.large]\nweight = -2\n");
  struct Row {
    std::string name;
    std::string arguments;
    int status;
    std::string output;
  };
  const Row rows[] = {
      {"apply and wait", "plans apply " + plans + " --wait --author ann", 0,
       "in force on every living daemon"},
      {"get", "plans get", 0, "\"weight\": 2"},
      {"history", "plans history", 0, "\"author\": \"ann\""},
      {"version conflict", "plans apply " + plans + " --expect-version 1", 4,
       "another change came first"},
      {"not valid", "plans apply " + invalid_file, 5, "weight must be above 0"},
      {"explain", "explain fern --service soil", 0, "\"state\": \"served\""},
      {"explain an unknown service", "explain fern --service tea", 1, "unknown-service"},
      {"status", "status", 0, "\"leaders\""},
      {"drain", "drain", 0, "\"leaving\":true"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const CommandResult result = RunCommand(row.arguments + daemon);
    CHECK(result.status == row.status);
    CHECK(result.output.find(row.output) != std::string::npos);
  }
  std::filesystem::remove(plans);
  std::filesystem::remove(invalid_file);
}
