#include "jobs/job_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace coltsfoot::jobs {
namespace {

// Store outages last seconds; an earlier retry would most likely fail as well.
constexpr std::uint32_t kOutageRetryAfterS = 1;
// Time that a write and its answer to the caller take. With less time left, a write without an
// answer is not repeated and its outcome stays unknown.
constexpr core::milliseconds kMinWriteTime{150};

/// Copies to the record what the queue's configuration decides about a job.
void ApplyQueue(const queue_config& queue, std::uint64_t config_version, job_record& record) {
  record.queue = queue.name;
  record.service = queue.service;
  record.priority = queue.priority;
  record.attempts = queue.attempts;
  record.stretch = queue.stretch;
  record.objective_ms = queue.objective_ms;
  record.config_version = config_version;
}

/// Admits a forwarded job under a newer catalogue than the one that its sender knows.
/// @return the job's new record; nothing if its path leads to no queue that can take it, or if the
/// sender's record cannot be read.
std::optional<job_record> AdmitAgain(const job_query& query, const queue_catalogue& catalogue) {
  const queue_config* queue = catalogue.FindByPath(query.host, query.path);
  if (queue == nullptr || queue->needs_advice) return std::nullopt;
  // A longer prefix may match a path that names no job of its queue.
  if (query.path != queue->prefix + query.job) return std::nullopt;
  core::last_error error;
  auto record = wire::DecodeValue<job_record>(query.record, error);
  if (!record || !IsValid(*record, error)) {
    spdlog::error("event=forwarded_job_unreadable job={} reason=\"{}\"", query.job,
                  error.reason().message);
    return std::nullopt;
  }
  ApplyQueue(*queue, catalogue.version(), *record);
  return record;
}

}  // namespace

struct job_service::submission {
  std::string id;
  std::string queue;
  std::string host;    ///< `Host` of the queue's requests
  std::string path;    ///< path of the job
  std::string record;  ///< encoded `job_record`
  store::expectation config;
  core::mono_time started_at;
  core::mono_time deadline;
  bool may_be_stored = false;  ///< a write was not answered and may have taken effect
  bool may_forward = true;     ///< may be sent to another entry if this one cannot store it
  handler done;
};

job_service::job_service(const core::clock& time, metrics::registry& metrics,
                         store::versioned_store& storage, store_health& health,
                         queue_source& queues, coordinator_client& coordinator)
    : time_(time),
      metrics_(metrics),
      storage_(storage),
      health_(health),
      queues_(queues),
      coordinator_(coordinator) {}

job_reply job_service::StoreUnavailable() const {
  return {.code = core::result_code::store_unavailable,
          .state = std::nullopt,
          .retry_after_s = kOutageRetryAfterS};
}

void job_service::Submit(const std::string& id, const queue_config& queue, const job_spec& spec,
                         core::mono_time deadline, handler done) {
  auto job = std::make_shared<submission>();
  job->id = id;
  job->queue = queue.name;
  job->host = queue.host;
  job->path = queue.prefix + id;
  job_record record{.accepted_wall_ms = time_.WallNow().time_since_epoch().count(), .spec = spec};
  ApplyQueue(queue, queues_.Current()->version(), record);
  job->record = wire::EncodeValue(record);
  job->config = queues_.VersionExpectation();
  job->started_at = time_.Now();
  job->deadline = deadline;
  job->done = std::move(done);
  if (health_.reachable()) {
    Store(job);
  } else {
    Forward(job);
  }
}

void job_service::Forward(const std::shared_ptr<submission>& job) {
  if (!job->may_forward) {
    Finish(*job, StoreUnavailable());
    return;
  }
  job->may_forward = false;
  metrics_.CountRetry("submit_forwarded", core::result_code::store_unavailable);
  const auto time_left = std::max<std::int64_t>(0, core::ToMs(job->deadline - time_.Now()));
  coordinator_.Query(
      {.kind = query_kind::store_job,
       .queue = job->queue,
       .job = job->id,
       .host = job->host,
       .path = job->path,
       .record = job->record,
       .config_key = job->config.key,
       .config_version = job->config.version,
       .time_left_ms = static_cast<std::uint32_t>(time_left)},
      [this, job](const job_answer& answer) {
        if (answer.outcome == query_outcome::found) {
          if (answer.code == core::result_code::stale_config) {
            queues_.MarkOutdated(job->config.version);
          }
          Finish(*job, {.code = answer.code,
                        .state = std::nullopt,
                        .retry_after_s = core::IsNotRun(answer.code) ? kOutageRetryAfterS : 0});
        } else if (answer.outcome == query_outcome::lost || job->may_be_stored) {
          Finish(*job, {.code = core::result_code::outcome_unknown, .state = std::nullopt});
        } else {
          Finish(*job, StoreUnavailable());
        }
      });
}

void job_service::StoreForPeer(const job_query& query, std::function<void(job_answer)> done) {
  const core::mono_time deadline = time_.Now() + core::milliseconds{query.time_left_ms};
  const auto answer = [done](const job_reply& reply) {
    done({.outcome = query_outcome::found, .code = reply.code});
  };
  if (query.kind == query_kind::store_cancel) {
    CancelLocally(query.job, deadline, answer);
    return;
  }
  auto job = std::make_shared<submission>();
  job->id = query.job;
  job->queue = query.queue;
  job->record = query.record;
  job->config = {query.config_key, query.config_version};
  job->started_at = time_.Now();
  job->deadline = deadline;
  job->may_forward = false;
  job->done = answer;
  // An entry without the store cannot learn of a new configuration either, so its jobs would be
  // refused until it regains the store.
  const store::expectation own = queues_.VersionExpectation();
  if (own.key == query.config_key && own.version > query.config_version) {
    const auto catalogue = queues_.Current();
    const auto record = catalogue ? AdmitAgain(query, *catalogue) : std::nullopt;
    if (!record) {
      FinishOutdated(*job);
      return;
    }
    metrics_.GetCounter("coltsfoot_forwarded_jobs_admitted_again_total").Add();
    spdlog::info("event=forwarded_job_admitted_again job={} queue={} was={} version={}", query.job,
                 record->queue, query.queue, record->config_version);
    job->queue = record->queue;
    job->record = wire::EncodeValue(*record);
    job->config = own;
  }
  if (health_.reachable()) {
    Store(job);
  } else {
    Finish(*job, StoreUnavailable());
  }
}

void job_service::Store(const std::shared_ptr<submission>& job) {
  store::transaction writes;
  writes.expect.push_back({JobKey(job->id), 0});
  writes.expect.push_back(job->config);
  writes.puts.push_back({JobKey(job->id), job->record, 0});
  // After a conflict the store answers with the configuration, which may be large.
  writes.answer_limit = store::kSmallAnswerBytes;
  storage_.Commit(std::move(writes),
                  [this, job](const store::commit_result& result) { OnStored(job, result); });
}

void job_service::OnStored(const std::shared_ptr<submission>& job,
                           const store::commit_result& result) {
  const bool has_time = time_.Now() + kMinWriteTime < job->deadline;
  switch (result.status) {
    case store::kv_status::ok:
      Finish(*job, {.code = core::result_code::ok, .state = job_state::queued});
      return;
    case store::kv_status::conflict:
      OnConflict(job, result);
      return;
    case store::kv_status::unknown:
      job->may_be_stored = true;
      if (has_time && health_.reachable()) {
        metrics_.CountRetry("submit", core::result_code::outcome_unknown);
        Store(job);
        return;
      }
      Finish(*job, {.code = core::result_code::outcome_unknown, .state = std::nullopt});
      return;
    default:
      if (job->may_be_stored) {
        Finish(*job, {.code = core::result_code::outcome_unknown, .state = std::nullopt});
      } else {
        Forward(job);
      }
  }
}

void job_service::OnConflict(const std::shared_ptr<submission>& job,
                             const store::commit_result& result) {
  if (result.present.empty()) {
    ReadConflict(job);
    return;
  }
  const bool stored = std::any_of(result.present.begin(), result.present.end(),
                                  [&](const auto& entry) { return entry.key == JobKey(job->id); });
  if (stored) {
    Finish(*job, {.code = core::result_code::ok, .state = std::nullopt});
  } else {
    FinishOutdated(*job);
  }
}

void job_service::ReadConflict(const std::shared_ptr<submission>& job) {
  storage_.Get(JobKey(job->id), [this, job](const store::get_result& found) {
    if (found.status == store::kv_status::ok) {
      Finish(*job, {.code = core::result_code::ok, .state = std::nullopt});
    } else if (found.status == store::kv_status::not_found) {
      FinishOutdated(*job);
    } else if (job->may_be_stored) {
      Finish(*job, {.code = core::result_code::outcome_unknown, .state = std::nullopt});
    } else {
      Finish(*job, StoreUnavailable());
    }
  });
}

void job_service::FinishOutdated(const submission& job) {
  queues_.MarkOutdated(job.config.version);
  Finish(job, {.code = core::result_code::stale_config,
               .state = std::nullopt,
               .retry_after_s = kOutageRetryAfterS});
}

void job_service::Finish(const submission& job, const job_reply& reply) {
  if (reply.code != core::result_code::ok) {
    metrics_.CountRefusal("submit", reply.code);
    spdlog::warn("event=submit_refused job={} queue={} code={} took_ms={}", job.id, job.queue,
                 core::ToString(reply.code), core::ToMs(time_.Now() - job.started_at));
  } else {
    spdlog::info("event=submitted job={} queue={} took_ms={}", job.id, job.queue,
                 core::ToMs(time_.Now() - job.started_at));
  }
  job.done(reply);
}

void job_service::Show(const std::string& id, const std::string& queue, handler done) {
  coordinator_.Query({.kind = query_kind::show, .queue = queue, .job = id},
                     [this, id, done = std::move(done)](const job_answer& answer) {
                       if (answer.outcome == query_outcome::found) {
                         done({.code = core::result_code::ok, .state = answer.state});
                         return;
                       }
                       // The coordinator may not have received the job yet.
                       ShowStored(id, done);
                     });
}

void job_service::ShowStored(const std::string& id, handler done) {
  if (!health_.reachable()) {
    done(StoreUnavailable());
    return;
  }
  storage_.Get(ProgressKey(id), [this, id, done = std::move(done)](const store::get_result& got) {
    if (got.status == store::kv_status::not_found) {
      ShowUnlessCancelled(id, std::nullopt, done);
      return;
    }
    if (got.status != store::kv_status::ok) {
      done(StoreUnavailable());
      return;
    }
    core::last_error error;
    const auto progress = wire::DecodeValue<progress_record>(got.entry->value, error);
    if (!progress) {
      spdlog::error("event=progress_unreadable job={} reason=\"{}\"", id, error.reason().message);
      done({.code = core::result_code::internal_error, .state = std::nullopt});
      return;
    }
    if (IsEnded(progress->state)) {
      done({.code = core::result_code::ok, .state = progress->state});
      return;
    }
    ShowUnlessCancelled(id, progress, done);
  });
}

void job_service::ShowUnlessCancelled(const std::string& id,
                                      const std::optional<progress_record>& progress,
                                      handler done) {
  storage_.Get(CancelKey(id),
               [this, id, progress, done = std::move(done)](const store::get_result& cancelled) {
                 const bool is_cancelled = cancelled.status == store::kv_status::ok;
                 if (!is_cancelled && cancelled.status != store::kv_status::not_found) {
                   done(StoreUnavailable());
                   return;
                 }
                 if (progress) {
                   done({.code = core::result_code::ok,
                         .state = is_cancelled ? job_state::cancelled : progress->state});
                   return;
                 }
                 storage_.Get(JobKey(id), [this, is_cancelled, done](const store::get_result& job) {
                   if (job.status == store::kv_status::ok) {
                     done({.code = core::result_code::ok,
                           .state = is_cancelled ? job_state::cancelled : job_state::queued});
                   } else if (job.status == store::kv_status::not_found) {
                     done({.code = core::result_code::not_found, .state = std::nullopt});
                   } else {
                     done(StoreUnavailable());
                   }
                 });
               });
}

void job_service::Cancel(const std::string& id, const std::string& queue, core::mono_time deadline,
                         handler done) {
  if (!health_.reachable()) {
    ForwardCancel(id, queue, deadline, std::move(done));
    return;
  }
  CancelLocally(id, deadline,
                [this, id, queue, deadline, done = std::move(done)](const job_reply& reply) {
                  if (core::IsNotRun(reply.code) && reply.code != core::result_code::not_found) {
                    ForwardCancel(id, queue, deadline, done);
                  } else {
                    done(reply);
                  }
                });
}

void job_service::ForwardCancel(const std::string& id, const std::string& queue,
                                core::mono_time deadline, handler done) {
  metrics_.CountRetry("cancel_forwarded", core::result_code::store_unavailable);
  const auto time_left = std::max<std::int64_t>(0, core::ToMs(deadline - time_.Now()));
  coordinator_.Query({.kind = query_kind::store_cancel,
                      .queue = queue,
                      .job = id,
                      .time_left_ms = static_cast<std::uint32_t>(time_left)},
                     [this, id, queue, done = std::move(done)](const job_answer& answer) {
                       job_reply reply = StoreUnavailable();
                       if (answer.outcome == query_outcome::found) {
                         reply = {.code = answer.code, .state = std::nullopt};
                       } else if (answer.outcome == query_outcome::lost) {
                         reply = {.code = core::result_code::outcome_unknown,
                                  .state = std::nullopt};
                       }
                       if (reply.code == core::result_code::ok) reply.state = job_state::cancelled;
                       if (core::IsNotRun(reply.code)) reply.retry_after_s = kOutageRetryAfterS;
                       if (reply.code != core::result_code::ok) {
                         metrics_.CountRefusal("cancel", reply.code);
                         spdlog::warn("event=cancel_refused job={} queue={} code={}", id, queue,
                                      core::ToString(reply.code));
                       }
                       done(reply);
                     });
}

void job_service::CancelLocally(const std::string& id, core::mono_time deadline, handler done) {
  if (!health_.reachable()) {
    done(StoreUnavailable());
    return;
  }
  storage_.Get(JobKey(id),
               [this, id, deadline, done = std::move(done)](const store::get_result& job) {
                 if (job.status == store::kv_status::not_found) {
                   // Its submission may still be on its way, at an entry that stands still.
                   StoreCancel(id, deadline, core::result_code::not_found, false, done);
                 } else if (job.status == store::kv_status::ok) {
                   StoreCancel(id, deadline, core::result_code::ok, false, done);
                 } else {
                   done(StoreUnavailable());
                 }
               });
}

void job_service::StoreCancel(const std::string& id, core::mono_time deadline,
                              core::result_code when_stored, bool may_be_stored, handler done) {
  store::transaction writes;
  writes.expect.push_back({CancelKey(id), 0});
  writes.puts.push_back({CancelKey(id), "1", 0});
  storage_.Commit(std::move(writes), [this, id, deadline, when_stored, may_be_stored,
                                      done = std::move(done)](const store::commit_result& result) {
    if (result.status == store::kv_status::ok || result.status == store::kv_status::conflict) {
      const bool is_known = when_stored == core::result_code::ok;
      spdlog::info("event=cancel_stored job={} known={}", id, is_known);
      done({.code = when_stored,
            .state = is_known ? std::optional(job_state::cancelled) : std::nullopt});
      return;
    }
    const bool unanswered = result.status == store::kv_status::unknown;
    const bool unknown = may_be_stored || unanswered;
    if (unanswered && health_.reachable() && time_.Now() + kMinWriteTime < deadline) {
      metrics_.CountRetry("cancel", core::result_code::outcome_unknown);
      StoreCancel(id, deadline, when_stored, unknown, done);
      return;
    }
    const job_reply reply =
        unknown ? job_reply{.code = core::result_code::outcome_unknown, .state = std::nullopt}
                : StoreUnavailable();
    metrics_.CountRefusal("cancel", reply.code);
    spdlog::warn("event=cancel_refused job={} code={}", id, core::ToString(reply.code));
    done(reply);
  });
}

void job_service::CountWaiting(const std::string& queue, handler done) {
  coordinator_.Query(
      {.kind = query_kind::count_waiting, .queue = queue},
      [this, queue, done = std::move(done)](const job_answer& answer) {
        // Without an answer the count is unknown, not zero.
        if (answer.outcome != query_outcome::found) {
          metrics_.CountRefusal("count", core::result_code::store_unavailable);
          spdlog::warn("event=count_refused queue={} outcome={}", queue,
                       static_cast<int>(answer.outcome));
          done(StoreUnavailable());
          return;
        }
        done({.code = core::result_code::ok, .state = std::nullopt, .waiting = answer.waiting});
      });
}

}  // namespace coltsfoot::jobs
