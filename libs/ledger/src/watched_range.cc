#include "watched_range.h"

namespace coltsfoot::ledger {
namespace {

constexpr std::size_t kPageEntries = 1000;
// A takeover changes several keys at once; the interval combines the reads that they cause.
constexpr core::milliseconds kMinReadInterval{100};

}  // namespace

void watched_range::Tick() {
  const core::mono_time now = context_.time.Now();
  const bool due = reread_ || now >= last_read_ + context_.options.reread_interval;
  if (due && !reading_ && now >= retry_at_ && now >= last_read_ + kMinReadInterval) {
    reread_ = false;
    last_read_ = now;
    pages_.clear();
    Read(now, "");
  }
  // A watch from a revision after which changes are already known would be answered at once.
  if (known_ && !watching_ && !reading_ && !reread_ && now >= next_watch_) Watch();
}

void watched_range::Read(core::mono_time now, std::string after) {
  reading_ = true;
  context_.kv.Range(
      prefix_, std::move(after), kPageEntries,
      scope_.Wrap([this, now](store::range_result result) { OnPage(std::move(result), now); }));
}

void watched_range::OnPage(store::range_result result, core::mono_time sent) {
  reading_ = false;
  if (result.status != store::kv_status::ok) {
    CountRetry(context_, "ledger_range", result.status);
    reread_ = true;
    retry_at_ = context_.time.Now() + read_backoff_.Next(context_.random);
    return;
  }
  read_backoff_.Reset();
  // The watch reports changes between two pages, because it starts at the first page's revision.
  if (pages_.empty()) first_page_revision_ = result.revision;
  const bool last_page = result.entries.size() < kPageEntries;
  for (auto& entry : result.entries) pages_.push_back(std::move(entry));
  if (!last_page) {
    Read(sent, pages_.back().key);
    return;
  }
  entries_ = std::move(pages_);
  revision_ = first_page_revision_;
  known_ = true;
  listener_.OnRangeRead(prefix_, sent);
}

void watched_range::Watch() {
  watching_ = true;
  context_.kv.Watch(prefix_, revision_, context_.options.watch_timeout,
                    scope_.Wrap([this](const store::watch_result& result) { OnWatch(result); }));
}

void watched_range::OnWatch(const store::watch_result& result) {
  watching_ = false;
  if (result.status != store::kv_status::ok) {
    next_watch_ = context_.time.Now() + watch_backoff_.Next(context_.random);
    return;
  }
  watch_backoff_.Reset();
  if (!result.keys.empty()) reread_ = true;
}

}  // namespace coltsfoot::ledger
