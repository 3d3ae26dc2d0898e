#include <fmt/format.h>

#include <map>
#include <set>

#include "core/result_code.h"
#include "record.h"

namespace coltsfoot::history {
namespace {

/// Calls for one key with their outcomes, and the work that ran for it.
struct key_history {
  bool idempotent = true;
  std::uint64_t digest = 0;
  int may_run = 0;  ///< calls that have not been answered with "not run"
  int starts = 0;
  int finishes = 0;
  std::set<std::string> tasks;
};

class call_tracker {
 public:
  explicit call_tracker(const report& found) : found_(found) {}

  void Add(const record& item) {
    const std::string key = item.Text("key");
    if (key.empty()) return;
    if (item.event == "invoke") Invoke(keys_[key], item);
    if (item.event == "outcome") AddOutcome(key, keys_[key], item);
    if (item.event == "request_finish") keys_[key].finishes += 1;
    if (item.IsStart()) Start(key, keys_[key], item);
  }

 private:
  void Invoke(key_history& key, const record& item) {
    key.idempotent = item.members.value("idempotent", true);
    key.digest = item.Unsigned("digest");
    key.may_run += 1;
  }

  void Start(const std::string& name, key_history& key, const record& item) {
    key.starts += 1;
    if (item.IsTaskStart()) {
      key.tasks.insert(item.Text("task"));
      if (key.tasks.size() > 1) found_(fmt::format("key {} has more than one task", name));
    } else if (!key.idempotent && key.starts > 1) {
      found_(fmt::format("non-idempotent key {} was started {} times", name, key.starts));
    }
    if (key.may_run == 0) {
      found_(fmt::format("key {} was started on {} although no call for it may run", name,
                         item.Text("worker")));
    }
  }

  void AddOutcome(const std::string& name, key_history& key, const record& item) {
    const auto code = static_cast<core::result_code>(item.Number("code"));
    if (core::IsNotRun(code)) {
      key.may_run -= 1;
      if (key.may_run == 0 && key.starts > 0) {
        found_(fmt::format("key {} was answered as not run (code {}) and ran", name,
                           static_cast<int>(code)));
      }
    }
    if (code != core::result_code::ok) return;
    if (item.Text("op") == "task") {
      key.tasks.insert(item.Text("task"));
      if (key.tasks.size() > 1) found_(fmt::format("key {} has more than one task", name));
      return;
    }
    if (!item.members.value("answer_whole", false)) {
      found_(fmt::format("the answer to key {} is not whole", name));
    } else if (item.Unsigned("answer_digest") != key.digest) {
      found_(fmt::format("the answer to key {} belongs to another request", name));
    } else if (key.finishes == 0) {
      found_(fmt::format("key {} was answered before any run of it had finished", name));
    }
  }

  const report& found_;
  std::map<std::string, key_history> keys_;
};

}  // namespace

void CheckCalls(const record_list& records, const report& found) {
  call_tracker tracker(found);
  for (const record& item : records) tracker.Add(item);
}

}  // namespace coltsfoot::history
