#include "config_controller.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "config/json_format.h"
#include "core/ids.h"

namespace coltsfoot::entry {
namespace {

constexpr std::string_view kKey = "config/fleet";
// The watch reports changes within milliseconds; the periodic read bounds the delay if the watch
// fails. An agent may need two more heartbeat intervals of 5 s; the total stays below the
// guaranteed 14 s.
constexpr core::milliseconds kReadInterval{3000};
constexpr core::milliseconds kRetryInterval{500};
constexpr core::milliseconds kWatchTimeout{20000};
constexpr int kMaxReadBackAttempts = 5;

}  // namespace

config_controller::config_controller(store::kv_client& kv, const core::clock& time,
                                     core::random_source& random, metrics::registry& metrics)
    : kv_(kv), time_(time), random_(random), metrics_(metrics) {}

void config_controller::Tick() {
  const core::mono_time now = time_.Now();
  if (!reading_ && now >= next_read_) Read();
  if (!watching_ && now >= next_watch_ && key_version_ != 0) StartWatch();
}

void config_controller::Read() {
  reading_ = true;
  kv_.Get(std::string(kKey), [this](const store::get_result& result) {
    reading_ = false;
    OnRead(result);
  });
}

void config_controller::OnRead(const store::get_result& result) {
  const bool done = result.status == store::kv_status::ok;
  next_read_ = time_.Now() + (done ? kReadInterval : kRetryInterval);
  if (done) {
    PutInForce(result.entry->value, result.entry->version);
  } else if (result.status == store::kv_status::not_found) {
    CreateInitialConfig();
  } else {
    metrics_.GetCounter("coltsfoot_config_read_failures_total").Add();
  }
}

// A deployment starts with version 1, which has no defaults and no exceptions. If several entries
// try to create it, one succeeds and the others read the result.
void config_controller::CreateInitialConfig() {
  config::fleet_config first(
      {.version = 1, .token = core::ToHex(random_.Next()), .author = "coltsfoot-entry"});
  kv_.Put(std::string(kKey), config::ToJson(first), {.if_version = 0, .lease = {}},
          [this](const store::write_result&) { next_read_ = time_.Now(); });
}

void config_controller::StartWatch() {
  watching_ = true;
  kv_.Watch(std::string(kKey), watched_revision_, kWatchTimeout,
            [this](const store::watch_result& result) {
              watching_ = false;
              if (result.status != store::kv_status::ok) {
                next_watch_ = time_.Now() + kRetryInterval;
                return;
              }
              watched_revision_ = result.revision;
              if (!result.keys.empty()) next_read_ = time_.Now();
            });
}

void config_controller::PutInForce(const std::string& document, store::key_version key) {
  core::last_error error;
  auto next = config::ParseFleetConfig(document, error);
  if (!next) {
    metrics_.GetCounter("coltsfoot_config_invalid_total").Add();
    return;
  }
  if (next->version() >= read_config_version_) {
    key_version_ = key;
    read_config_version_ = next->version();
    watched_revision_ = std::max(watched_revision_, key);
  }
  Advance(std::move(*next));
}

bool config_controller::Advance(config::fleet_config next) {
  const core::config_version before = history_.version();
  if (!history_.Advance(std::make_shared<const config::fleet_config>(std::move(next)))) {
    return false;
  }
  view_ = std::make_unique<config::settings_view>(history_.current());
  metrics_.GetGauge("coltsfoot_config_version").Set(static_cast<std::int64_t>(history_.version()));
  spdlog::info("event=config_in_force version={} before={} author={}", history_.version(), before,
               history_.current()->author());
  if (listener_) listener_();
  return true;
}

void config_controller::OnPeerConfig(const std::string& document) {
  core::last_error error;
  auto next = config::ParseFleetConfig(document, error);
  if (next) Advance(std::move(*next));
}

std::string config_controller::Document() const {
  return history_.current() ? config::ToJson(*history_.current()) : "";
}

void config_controller::Change(std::optional<core::config_version> base, const std::string& author,
                               const change_function& change, change_handler done) {
  if (!is_known() || key_version_ == 0 || read_config_version_ != version()) {
    done({core::result_code::store_unavailable,
          "the current configuration has not been read from the key-value service"},
         0);
    return;
  }
  core::last_error error;
  if (!history_.CheckBase(base, error)) {
    done(error.reason(), version());
    return;
  }
  if (writing_) {
    done({core::result_code::conflict,
          "another change is being written; read the configuration and try again"},
         version());
    return;
  }
  const config::change_stamp stamp{core::ToHex(random_.Next()) + core::ToHex(random_.Next()),
                                   author, time_.WallNow()};
  auto next = change(*history_.current(), stamp, error);
  if (!next) {
    done(error.reason(), version());
    return;
  }
  if (next->version() == version()) {
    // A repeated change that is already in force needs no write.
    done({core::result_code::ok, ""}, version());
    return;
  }
  Write(std::move(*next), std::move(done));
}

void config_controller::Write(config::fleet_config next, change_handler done) {
  writing_ = true;
  std::string document = config::ToJson(next);
  kv_.Put(
      std::string(kKey), std::move(document), {.if_version = key_version_, .lease = {}},
      [this, next = std::move(next), done = std::move(done)](const store::write_result& result) {
        writing_ = false;
        OnWritten(result, next, done);
      });
}

void config_controller::OnWritten(const store::write_result& result,
                                  const config::fleet_config& next, const change_handler& done) {
  switch (result.status) {
    case store::kv_status::ok:
      if (next.version() >= read_config_version_) {
        key_version_ = result.version;
        read_config_version_ = next.version();
      }
      Advance(next);
      done({core::result_code::ok, ""}, next.version());
      return;
    case store::kv_status::conflict:
    case store::kv_status::not_found:
      ReportConflict(next, done);
      return;
    case store::kv_status::refused:
    case store::kv_status::unreachable:
      done({core::result_code::store_unavailable,
            "the key-value service refused the change or is unreachable"},
           version());
      return;
    case store::kv_status::unknown:
      metrics_.CountRetry("config_write", core::result_code::outcome_unknown);
      ResolveUnknown(next, done, kMaxReadBackAttempts);
      return;
  }
}

// Either another change was written first, or an earlier try of this write took effect and its
// answer was lost.
void config_controller::ReportConflict(const config::fleet_config& next,
                                       const change_handler& done) {
  kv_.Get(std::string(kKey), [this, next, done](const store::get_result& result) {
    if (result.status == store::kv_status::ok) {
      PutInForce(result.entry->value, result.entry->version);
    }
    core::last_error error;
    const core::config_version base = next.version() - 1;
    if (history_.CheckBase(base, error)) {
      done({core::result_code::conflict, "the configuration was changed at the same time"},
           version());
      return;
    }
    done(error.reason(), version());
  });
}

// Never repeats a write whose outcome is unknown; reads the document back and compares the change
// token instead.
void config_controller::ResolveUnknown(const config::fleet_config& next, const change_handler& done,
                                       int attempts_left) {
  kv_.Get(std::string(kKey), [this, next, done, attempts_left](const store::get_result& result) {
    if (result.status != store::kv_status::ok) {
      if (attempts_left > 0) {
        ResolveUnknown(next, done, attempts_left - 1);
        return;
      }
      done({core::result_code::outcome_unknown,
            "the key-value service does not answer; the change may still take effect"},
           version());
      return;
    }
    PutInForce(result.entry->value, result.entry->version);
    const auto& current = history_.current();
    if (current && current->token() == next.token()) {
      done({core::result_code::ok, ""}, next.version());
      return;
    }
    if (current && current->version() == next.version()) {
      ReportConflict(next, done);
      return;
    }
    // Either a later change has replaced the document, so that it no longer shows whether this one
    // was applied, or the write may still take effect.
    done({core::result_code::outcome_unknown,
          "the change may or may not be applied; read the configuration to check"},
         version());
  });
}

}  // namespace coltsfoot::entry
