#include <signal.h>

#include <cstdlib>
#include <random>

#include "scenario.h"

namespace coltsfoot::failure {
namespace {

/// @return a number from the environment; longer sessions and other seeds run outside CI.
int FromEnvironment(const char* name, int fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

/// Fleet with one fault at a time, drawn from a seed, beside requests, tasks and changes.
class random_session {
 public:
  random_session(fleet& running, int seed, std::int64_t work_ms)
      : running_(running), random_(static_cast<unsigned>(seed)), work_ms_(work_ms) {}

  /// Starts or ends a fault, then makes calls and waits for the answers, which limits the rate.
  void Step() {
    if (undo_ && Draw(3) == 0) {
      Heal();
    } else if (!undo_) {
      StartFault();
    }
    request_options brief;
    brief.deadline = milliseconds{500};
    brief.timeout = milliseconds{2000};
    request_options once = brief;
    once.idempotent = false;
    const std::string name = std::to_string(++step_);
    std::vector<std::future<outcome>> answers;
    for (const std::size_t entry : {0U, 1U}) {
      const std::string suffix = fmt::format("{}-{}", entry, name);
      for (auto& each : StartRequests(running_, entry, 2, "any-" + suffix, brief)) {
        answers.push_back(std::move(each));
      }
      answers.push_back(std::move(StartRequests(running_, entry, 1, "once-" + suffix, once)[0]));
    }
    constexpr std::size_t kMaxTasks = 24;  // all of them fit on the fleet
    if (ids_.size() < kMaxTasks) SubmitOne(name);
    if (Draw(4) == 0) ChangeOne();
    for (auto& each : answers) each.wait();
  }

  void Heal() {
    if (undo_) std::exchange(undo_, nullptr)();
  }

  const std::vector<std::string>& ids() const { return ids_; }
  std::uint64_t accepted() const { return accepted_; }

 private:
  std::size_t Draw(std::size_t count) { return random_() % count; }

  void Pause(harness::process& paused) {
    paused.Signal(SIGSTOP);
    undo_ = [&paused] { paused.Signal(SIGCONT); };
  }

  void Store(const std::string& faults) {
    running_.PlatformFaults(faults);
    undo_ = [this] { running_.PlatformFaults(R"({"down":false,"slow_ms":0,"cut":[]})"); };
  }

  void StartFault() {
    faulty_ = Draw(2);
    const std::size_t worker = Draw(3);
    switch (Draw(10)) {
      case 0:
        running_.entry_process(faulty_).Kill();
        undo_ = [this] { running_.StartEntry(faulty_); };
        return;
      case 1:
        return Pause(running_.entry_process(faulty_));
      case 2:
        running_.links().Cut(fleet::EntryId(faulty_), harness::relay::direction::both);
        undo_ = [this] { running_.links().Heal(fleet::EntryId(faulty_)); };
        return;
      case 3:
        running_.agent_process(worker).Kill();
        undo_ = [this, worker] { running_.StartAgent(worker); };
        return;
      case 4:
        return Pause(running_.agent_process(worker));
      case 5:
        running_.KillTarget(worker);
        undo_ = [this, worker] { running_.StartTarget(worker); };
        return;
      case 6:
        return Store(R"({"down":true})");
      case 7:
        return Store(R"({"slow_ms":300})");
      case 8:
        return Store(R"({"drop_answers":3})");
      default:
        return Store(fmt::format(R"({{"cut":["{}"]}})", fleet::EntryId(faulty_)));
    }
  }

  void SubmitOne(const std::string& name) {
    const auto id =
        running_.calls().Submit(running_.Entry(1 - faulty_), {.key = name, .work_ms = work_ms_});
    if (id) ids_.push_back(*id);
  }

  void ChangeOne() {
    const std::uint64_t base = Version(running_, 1 - faulty_);
    if (Change(running_, 1 - faulty_, base, "ana", 3000 + step_).ok()) accepted_ = base + 1;
  }

  fleet& running_;
  std::mt19937 random_;
  std::int64_t work_ms_;
  std::function<void()> undo_;  ///< ends the current fault
  std::size_t faulty_ = 0;      ///< entry chosen for a fault of an entry
  int step_ = 0;
  std::vector<std::string> ids_;
  std::uint64_t accepted_ = 0;
};

}  // namespace

// Guards against violations by combinations and sequences of faults that no other test covers.
TEST_CASE("a random session of faults, work and changes keeps the invariants") {
  const int seed = FromEnvironment("COLTSFOOT_RANDOM_SEED", 20261204);
  const std::chrono::seconds length{FromEnvironment("COLTSFOOT_RANDOM_SECONDS", 12)};
  harness::SetTimeLimit(2 * length + std::chrono::seconds{34});
  CAPTURE(seed);
  fleet_options options = WithServiceTime(100);
  options.relayed = true;
  options.timings.orphan_grace = milliseconds{3000};
  fleet running(options);
  REQUIRE(running.WaitReady());
  // No task ends during the session: one that ends while it is cut off is run again by design.
  const milliseconds work = milliseconds(length) + milliseconds{1000};
  random_session session(running, seed, work.count());
  const auto end = std::chrono::steady_clock::now() + length;
  while (std::chrono::steady_clock::now() < end) session.Step();
  session.Heal();
  CHECK(harness::WaitUntil(kConfigBound, [&] {
    return Version(running, 0) >= session.accepted() && Version(running, 1) >= session.accepted();
  }));
  const milliseconds bound = running.timings().OrphanBound() + work + 2 * kSlack;
  CheckFinished(running, running.Entries(), session.ids(), bound);
  CHECK(running.WaitReady());
  CheckInvariants(running);
}

}  // namespace coltsfoot::failure
