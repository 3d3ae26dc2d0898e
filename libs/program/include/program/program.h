#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "settings/reader.h"
#include "wire/connection_ledger.h"
#include "wire/messages.h"

/// Shared code of all long-running programs: command line, validation of the settings, ready line,
/// signal handling and periodic tick.
namespace coltsfoot::program {

/// Raises the soft limit of open files to the hard limit.
/// An entry has one connection to each agent. With 990 agents the usual soft limit of 1,024 leaves
/// almost no connections for callers, and more agents could not be reached at all.
void RaiseOpenFileLimit();

/// Parses the command line, which has the flag `--settings=FILE` (and `--help`).
/// Raises the limit of open files as well.
/// @param usage one paragraph for `--help`.
/// @return a reader of the settings file; the program ends with exit code 2 if the flag is
/// missing.
settings::reader OpenSettings(int argc, char** argv, std::string_view usage);

/// Prints all errors of the settings on stderr and ends the program with exit code 2 if there are
/// any.
void RequireValid(settings::reader& source);

/// Parses "IP:PORT". Adds an error for `key` to `source` if a non-empty text is not of this form.
wire::endpoint ParseEndpoint(settings::reader& source, std::string_view key, std::string_view text);

/// Reads and parses the "IP:PORT" value of a required key.
wire::endpoint ReadEndpoint(settings::reader& source, std::string_view key);

/// Reads the optional keys `max_peer_connections` and `max_peer_bytes_mb` (MiB), which lower the
/// defaults.
wire::connection_limits ReadPeerLimits(settings::reader& source);

/// Logs `event=ready` with the endpoints of the program. Tests read the ports from this line.
/// @param pairs key=value pairs such as "http=127.0.0.1:8000 udp=127.0.0.1:8001".
void LogReady(std::string_view pairs);

/// Runs the context on the calling thread until it is stopped.
/// @param tick called every `period` on the context.
/// @param on_stop called once on the context at the first SIGTERM or SIGINT; it must lead to
/// `context.stop()`. A second signal stops the context immediately.
/// @param on_reload called at each SIGHUP, which never ends the program; may be empty.
void RunUntilStopped(asio::io_context& context, core::milliseconds period,
                     std::function<void()> tick, std::function<void()> on_stop,
                     std::function<void()> on_reload = {});

}  // namespace coltsfoot::program
