#include "app/command_line.h"

#include <CLI/CLI.hpp>
#include <boost/system/system_error.hpp>
#include <csignal>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

#include "app/daemon.h"
#include "app/operator_client.h"
#include "config/router_settings.h"
#include "config/settings_parser.h"
#include "log/log.h"
#include "platform/route_command.h"

namespace sycamorestall {

namespace {

constexpr int kDefaultWaitTimeoutS = 10;

// Values of the options of all commands.
struct Options {
  std::string file;
  std::string origin = "http://127.0.0.1:8080";
  std::string service;
  std::string key;
  std::string author = "operator";
  std::int64_t expected_version = -1;
  bool wait = false;
  bool router = false;
  int wait_timeout_s = kDefaultWaitTimeoutS;
};

// The function of the chosen command, run after the arguments are parsed.
using CommandFunction = std::function<ExitStatus()>;

// Loads settings and passes them to a function, or prints why they are not valid.
template <typename Settings, typename Load, typename Function>
ExitStatus WithSettings(const std::string& file, Load load, Function function) {
  const auto loaded = load(file);
  if (const auto* error = std::get_if<SettingsError>(&loaded)) {
    std::cerr << ToString(*error) << "\n";
    return ExitStatus::kBadSettings;
  }
  return function(std::get<Settings>(loaded));
}

// Runs a daemon with logging; prints the error if it fails.
template <typename Run>
ExitStatus RunDaemon(LogLevel level, Run run) {
  std::signal(SIGPIPE, SIG_IGN);
  StartLog(level);
  ExitStatus status = ExitStatus::kSuccess;
  try {
    run();
  } catch (const std::exception& error) {
    std::cerr << "sycamorestall: cannot serve: " << error.what() << "\n";
    status = ExitStatus::kFailed;
  }
  StopLog();
  return status;
}

ExitStatus CheckConfig(const std::string& file, bool router) {
  const auto print_valid = [&file](const auto& /*settings*/) {
    std::cout << file << ": valid\n";
    return ExitStatus::kSuccess;
  };
  return router ? WithSettings<RouterSettings>(file, LoadRouterSettings, print_valid)
                : WithSettings<Settings>(file, LoadSettings, print_valid);
}

ExitStatus Serve(const std::string& file) {
  return WithSettings<Settings>(file, LoadSettings, [](const Settings& settings) {
    return RunDaemon(settings.log_level, [&settings] {
      Daemon daemon{settings};
      daemon.Run();
    });
  });
}

ExitStatus RouteRequests(const std::string& file) {
  return WithSettings<RouterSettings>(file, LoadRouterSettings, [](const RouterSettings& settings) {
    return RunDaemon(settings.log_level, [&settings] { platform::RunRoutingDaemon(settings); });
  });
}

void AddDaemonOption(CLI::App& command, Options& options) {
  command.add_option("--daemon", options.origin, "Origin of the daemon to ask.")
      ->envname("SYCAMORESTALL_DAEMON")
      ->capture_default_str();
}

void AddDocumentCommands(CLI::App& app, const std::string& name, Options& options,
                         CommandFunction& command_function) {
  CLI::App* document = app.add_subcommand(name, "Shows or changes the list of " + name + ".");
  document->require_subcommand(1);
  CLI::App* get = document->add_subcommand("get", "Prints the list in force.");
  AddDaemonOption(*get, options);
  get->callback([&options, &command_function, name] {
    command_function = [&options, name] {
      return OperatorClient{options.origin}.ShowDocument(name, false);
    };
  });
  CLI::App* history = document->add_subcommand("history", "Prints the latest changes.");
  AddDaemonOption(*history, options);
  history->callback([&options, &command_function, name] {
    command_function = [&options, name] {
      return OperatorClient{options.origin}.ShowDocument(name, true);
    };
  });
  CLI::App* apply = document->add_subcommand("apply", "Replaces the list by that of a TOML file.");
  AddDaemonOption(*apply, options);
  apply->add_option("file", options.file, "The TOML file.")->required();
  apply->add_option("--expect-version", options.expected_version,
                    "Refuse the change unless this version is in force.");
  apply->add_option("--author", options.author, "Who makes the change.")->capture_default_str();
  apply->add_flag("--wait", options.wait, "Wait until every living daemon has it in force.");
  apply->add_option("--patience", options.wait_timeout_s, "Seconds to wait at most.")
      ->capture_default_str();
  apply->callback([&options, &command_function, name] {
    command_function = [&options, name] {
      return OperatorClient{options.origin}.Apply(name, options.file, options.expected_version,
                                                  options.author, options.wait,
                                                  std::chrono::seconds{options.wait_timeout_s});
    };
  });
}

void AddCommands(CLI::App& app, Options& options, CommandFunction& command_function) {
  CLI::App* serve = app.add_subcommand("serve", "Runs a daemon.");
  serve->add_option("--config", options.file, "The settings, in TOML.")->required();
  serve->callback([&] { command_function = [&options] { return Serve(options.file); }; });
  CLI::App* route = app.add_subcommand("route", "Runs a daemon that follows the platform.");
  route->add_option("--config", options.file, "The settings, in TOML.")
      ->envname("SYCAMORESTALL_CONFIG")
      ->required();
  route->callback([&] { command_function = [&options] { return RouteRequests(options.file); }; });
  CLI::App* check = app.add_subcommand("check-config", "Checks a settings file.");
  check->add_option("file", options.file, "The settings, in TOML.")->required();
  check->add_flag("--router", options.router, "The file is for the route command.");
  check->callback(
      [&] { command_function = [&options] { return CheckConfig(options.file, options.router); }; });
  CLI::App* status = app.add_subcommand("status", "Prints how a daemon and its groups stand.");
  AddDaemonOption(*status, options);
  status->callback(
      [&] { command_function = [&options] { return OperatorClient{options.origin}.Status(); }; });
  CLI::App* explain = app.add_subcommand("explain", "Prints who owns a key and how it stands.");
  AddDaemonOption(*explain, options);
  explain->add_option("key", options.key, "The key.")->required();
  explain->add_option("--service", options.service, "The service.")->required();
  explain->callback([&] {
    command_function = [&options] {
      return OperatorClient{options.origin}.Explain(options.service, options.key);
    };
  });
  CLI::App* drain = app.add_subcommand("drain", "Stops a daemon gracefully.");
  AddDaemonOption(*drain, options);
  drain->callback(
      [&] { command_function = [&options] { return OperatorClient{options.origin}.Drain(); }; });
  AddDocumentCommands(app, "plans", options, command_function);
  AddDocumentCommands(app, "customers", options, command_function);
}

}  // namespace

int RunCommandLine(int argc, char** argv) {
  CLI::App app{"Routes requests to servers that each own their keys exclusively.", "sycamorestall"};
  app.set_version_flag("--version", std::string("sycamorestall ") + SYCAMORESTALL_VERSION);
  app.set_help_all_flag("--help-all", "Print the help of all commands.");
  app.require_subcommand(1);
  Options options;
  CommandFunction command_function;
  AddCommands(app, options, command_function);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int status = app.exit(error);
    return status == 0 ? 0 : static_cast<int>(ExitStatus::kBadArguments);
  }
  return static_cast<int>(command_function());
}

}  // namespace sycamorestall
