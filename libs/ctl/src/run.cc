#include "ctl/run.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string_view>

#include "session.h"

namespace coltsfoot::ctl {
namespace {

// Id of the nlohmann-json exception for a string that is not valid UTF-8 (type_error 316).
constexpr int kInvalidUtf8Error = 316;

/// Command with its syntax and handler.
struct command {
  std::string_view name;       ///< for example "config set"
  std::string_view arguments;  ///< as in the help, for example "NAME VALUE"
  std::size_t min_arguments;
  std::size_t max_arguments;
  exit_code (*run)(session&);
  std::string_view help;
};

constexpr std::array kCommands = {
    command{"status", "", 0, 0, Status, "Show entries, workers and tasks at a glance."},
    command{"workers", "", 0, 0, Workers, "List workers with their free capacity."},
    command{"teams", "", 0, 0, Teams, "List teams with their quota and tasks."},
    command{"drain", "WORKER --reason=TEXT", 1, 1, Drain,
            "Stop giving work to a worker and hand its tasks over."},
    command{"undrain", "WORKER", 1, 1, Undrain, "Give work to a drained worker again."},
    command{"worker-lost", "WORKER|ZONE --reason=TEXT", 1, 1, WorkerLost,
            "Declare that a worker or zone is gone, so that its tasks resume at once."},
    command{"config get", "[NAME]", 0, 1, ConfigGet, "List the settings in force."},
    command{"config set", "NAME VALUE", 2, 2, ConfigSet, "Set a fleet-wide default."},
    command{"config unset", "NAME", 1, 1, ConfigUnset,
            "Remove a fleet-wide default, so that the built-in value applies."},
    command{"config status", "", 0, 0, ConfigStatus,
            "List the configuration version in force at each process."},
    command{"config explain", "NAME [--scope=KIND:NAME ...]", 1, 1, ConfigExplain,
            "Say which default or exception decides a setting."},
    command{"exception add", "NAME VALUE --scope=KIND:NAME --reason=TEXT [--id=ID]", 2, 2,
            ExceptionAdd, "Give a setting another value in one scope."},
    command{"exception list", "", 0, 0, ExceptionList, "List all exceptions."},
    command{"exception show", "ID", 1, 1, ExceptionShow,
            "Show one exception with its reason and challenges."},
    command{"exception challenge", "ID TEXT", 2, 2, ExceptionChallenge,
            "Object to an exception; the text is kept with it."},
    command{"exception remove", "ID", 1, 1, ExceptionRemove, "Remove an exception."},
    command{"task submit",
            "--team=NAME --class=NAME [--kind=K] [--cpu_millis=N] [--memory_mb=N] ...", 0, 0,
            TaskSubmit, "Submit a task and print its id."},
    command{"task get", "ID", 1, 1, TaskGet, "Show a task."},
    command{"task watch", "ID", 1, 1, TaskWatch,
            "Follow a task until it ends; the exit code tells whether it succeeded."},
    command{"task cancel", "ID", 1, 1, TaskCancel, "Cancel a task."},
    command{"task list", "[--team=NAME] [--state=STATE] [--limit=N]", 0, 0, TaskList,
            "List tasks."},
    command{"task explain", "ID", 1, 1, TaskExplain,
            "Say why a task is where it is, or why it waits."},
    command{"request", "SERVICE [--body=TEXT] [--noidempotent] [--deadline_ms=N]", 1, 1, Request,
            "Send one request to a service and print the answer."},
};

constexpr std::string_view kHelpHead =
    R"(coltsfootctl talks to the entries of a coltsfootbank fleet.

usage: coltsfootctl COMMAND [ARGUMENTS] [FLAGS]

Examples
  coltsfootctl status --entry=http://10.0.0.1:8000
  coltsfootctl drain w7 --reason="fan replacement, back at noon"
  coltsfootctl exception add requests.queue_limit 10 --scope=service:planner --reason="load test"
  coltsfootctl config explain requests.queue_limit --scope=service:planner
  coltsfootctl task submit --team=mills --class=cutting-plan --cpu_millis=2000 --payload=plan-7
  coltsfootctl task watch t03-0123456789abcdef

Commands
)";

constexpr std::string_view kHelpTail = R"(
Settings are listed by `config get`. A default holds for the whole fleet; an exception holds in one
scope, which is worker, rack, zone, region, class, service or team, a colon and a name. The most
specific exception wins. Each exception needs a reason that other operators can read and challenge.

Exit codes
  0  done
  1  refused, or ended without success
  2  mistake in the command line; nothing was sent
  3  outcome unknown: the call may have taken effect
  4  cannot connect to any entry; nothing was sent
)";

bool IsUrl(const std::string& entry) {
  return entry.starts_with("http://") && entry.size() > std::string_view("http://").size();
}

/// @return the first `count` words, separated by spaces.
std::string JoinWords(const std::vector<std::string>& words, std::size_t count) {
  std::string out;
  for (std::size_t index = 0; index < std::min(count, words.size()); ++index) {
    if (index > 0) out += ' ';
    out += words[index];
  }
  return out;
}

/// @param length is set to the number of words in the command name.
/// @return the command that the first two words or the first word name; null if there is none.
const command* FindCommand(const std::vector<std::string>& words, std::size_t& length) {
  for (length = std::min<std::size_t>(2, words.size()); length > 0; --length) {
    const std::string name = JoinWords(words, length);
    for (const command& candidate : kCommands) {
      if (candidate.name == name) return &candidate;
    }
  }
  return nullptr;
}

/// @return the error message for words that name no command; lists the subcommands if the first
/// word has any.
std::string DescribeUnknownCommand(const std::vector<std::string>& words) {
  if (words.empty()) return "A command is missing.";
  std::string subcommands;
  for (const command& candidate : kCommands) {
    if (candidate.name.starts_with(words[0] + " ")) {
      subcommands += fmt::format("\n  {} {}", candidate.name, candidate.arguments);
    }
  }
  if (!subcommands.empty()) return fmt::format("The commands of {} are:{}", words[0], subcommands);
  return fmt::format("There is no command \"{}\".", words[0]);
}

/// Runs a command and turns JSON errors into exit codes.
exit_code RunCatchingJsonErrors(const command& selected, session& ctx) {
  try {
    return selected.run(ctx);
  } catch (const nlohmann::json::exception& error) {
    if (error.id == kInvalidUtf8Error) return ctx.Usage("Texts must be UTF-8.");
    // The answer cannot be parsed, but the call may have taken effect.
    ctx.env.err << "An answer cannot be read: " << error.what() << '\n';
    return exit_code::unknown;
  }
}

}  // namespace

exit_code Run(const options& flags, const std::vector<std::string>& words, environment env) {
  std::size_t length = 0;
  const command* found = FindCommand(words, length);
  const auto begin = words.begin() + static_cast<std::ptrdiff_t>(found == nullptr ? 0 : length);
  options normalized = flags;
  for (std::string& entry : normalized.entries) {
    while (entry.ends_with('/')) entry.pop_back();
  }
  session ctx(normalized, {begin, words.end()}, env);
  if (found == nullptr) return ctx.Usage(DescribeUnknownCommand(words));
  if (ctx.arguments.size() < found->min_arguments || ctx.arguments.size() > found->max_arguments) {
    return ctx.Usage(fmt::format("usage: coltsfootctl {} {}", found->name, found->arguments));
  }
  if (normalized.entries.empty()) return ctx.Usage("--entry=http://IP:PORT is missing.");
  for (const std::string& entry : normalized.entries) {
    if (!IsUrl(entry)) return ctx.Usage(fmt::format("\"{}\" is not http://IP:PORT.", entry));
  }
  return RunCatchingJsonErrors(*found, ctx);
}

std::string HelpText() {
  std::string text(kHelpHead);
  for (const command& row : kCommands) {
    text += fmt::format("  {} {}\n      {}\n", row.name, row.arguments, row.help);
  }
  text += kHelpTail;
  return text;
}

}  // namespace coltsfoot::ctl
