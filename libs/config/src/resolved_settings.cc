#include "config/resolved_settings.h"

#include <utility>

namespace coltsfoot::config {
namespace {

using enum setting_id;

// Bounds the memory of a view when callers send many combinations of names; a full cache is
// cleared.
constexpr std::size_t kMaxCachedSubjects = 8192;
constexpr char kKeySeparator = '\x1f';

/// Reads typed values of one subject. All settings but the quota have an initial value, and each
/// value was checked against the catalogue when it entered the configuration.
class value_reader {
 public:
  value_reader(const fleet_config& config, const subject& about) : config_(config), about_(about) {}

  template <class Value>
  Value Get(setting_id setting) const {
    return std::get<Value>(config_.Effective(setting, about_).value_or(Value{}));
  }
  bool Flag(setting_id setting) const { return Get<bool>(setting); }
  std::int64_t Integer(setting_id setting) const { return Get<std::int64_t>(setting); }
  double Decimal(setting_id setting) const { return Get<double>(setting); }

  std::optional<std::int64_t> OptionalInteger(setting_id setting) const {
    const auto value = config_.Effective(setting, about_);
    if (!value) return std::nullopt;
    return std::get<std::int64_t>(*value);
  }

  config::placement_policy Policy() const {
    const auto name = Get<std::string>(setting_id::placement_policy);
    const auto choices = InfoOf(setting_id::placement_policy).choices;
    for (std::size_t index = 0; index < choices.size(); ++index) {
      // The choices are listed in the order of the enumeration.
      if (choices[index] == name) return static_cast<config::placement_policy>(index);
    }
    return config::placement_policy::weighted;
  }

 private:
  const fleet_config& config_;
  const subject& about_;
};

}  // namespace

resolved_settings Resolve(const fleet_config& config, const subject& about) {
  const value_reader read(config, about);
  resolved_settings out;
  out.policy = read.Policy();
  out.tail_latency_weight = read.Decimal(weight_tail_latency);
  out.throughput_weight = read.Decimal(weight_throughput);
  out.evictions_weight = read.Decimal(weight_evictions);
  out.latency_critical_headroom_percent = read.Integer(headroom_latency_critical_percent);
  out.evictions_per_minute = read.Integer(evictions_budget_per_minute);
  out.queue_limit = read.Integer(requests_queue_limit);
  out.default_deadline = core::milliseconds{read.Integer(requests_default_deadline_ms)};
  out.retry_budget_percent = read.Decimal(retry_budget_percent);
  out.hedge_enabled = read.Flag(hedge_enabled);
  out.hedge_after_percentile = read.Decimal(hedge_after_percentile);
  out.quarantine_failures = read.Integer(quarantine_failures);
  out.quarantine_probe = core::milliseconds{read.Integer(quarantine_probe_ms)};
  out.max_worker_failures = read.Integer(tasks_max_worker_failures);
  out.team_cpu_quota_millis = read.OptionalInteger(team_cpu_quota_millis);
  out.team_request_share = read.Decimal(team_request_share);
  out.worker_drain = read.Flag(worker_drain);
  out.worker_lost = read.Flag(worker_lost);
  out.interference_enabled = read.Flag(interference_enabled);
  out.sizes_correction = read.Flag(sizes_correction);
  out.checkpoint_interval = core::milliseconds{read.Integer(tasks_checkpoint_interval_ms)};
  return out;
}

wire::agent_policy DeriveAgentPolicy(const fleet_config& config, const subject& worker) {
  const resolved_settings settings = Resolve(config, worker);
  return {.version = config.version(),
          .drain = settings.worker_drain || settings.worker_lost,
          .queue_limit = static_cast<std::uint32_t>(settings.queue_limit),
          .latency_critical_headroom =
              static_cast<std::uint32_t>(settings.latency_critical_headroom_percent)};
}

settings_view::settings_view(fleet_config_ptr config)
    : config_(std::move(config)), fleet_wide_(Resolve(*config_, {})) {
  for (const config_exception& exception : config_->exceptions()) {
    exception_names_[static_cast<std::size_t>(exception.applies_to.kind)].insert(
        exception.applies_to.name);
  }
}

const resolved_settings& settings_view::For(const subject& about) {
  std::string key;
  bool has_exceptions = false;
  for (std::size_t index = 0; index < kScopeKindCount; ++index) {
    const std::string& name = about.NameIn(static_cast<scope_kind>(index));
    if (!exception_names_[index].empty() && exception_names_[index].contains(name)) {
      key += name;
      has_exceptions = true;
    }
    key += kKeySeparator;
  }
  if (!has_exceptions) return fleet_wide_;
  const auto found = cache_.find(key);
  if (found != cache_.end()) return found->second;
  if (cache_.size() >= kMaxCachedSubjects) cache_.clear();
  return cache_.emplace(std::move(key), Resolve(*config_, about)).first->second;
}

}  // namespace coltsfoot::config
