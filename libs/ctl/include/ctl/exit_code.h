#pragma once

namespace coltsfoot::ctl {

/// Exit codes of coltsfootctl, which scripts rely on.
enum class exit_code : int {
  ok = 0,
  failed = 1,          ///< refused, or ended without success
  usage = 2,           ///< the command line is wrong; nothing was sent
  unknown = 3,         ///< the call may or may not have taken effect
  cannot_connect = 4,  ///< no entry could be reached; nothing was sent
};

}  // namespace coltsfoot::ctl
