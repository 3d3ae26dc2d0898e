#include "simulated_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace coltsfoot::simulation {
namespace {

constexpr milliseconds kStep{5};
constexpr milliseconds kTick{40};
constexpr milliseconds kMessageDelay{2};
constexpr milliseconds kRedialDelay{200};
constexpr milliseconds kAnnouncementPeriod{1500};
constexpr milliseconds kConfirmWithin{4000};

}  // namespace

/// One process of an agent. Answers to calls of an earlier process are dropped.
class simulated_fleet::agent_process final : public runner::target_client,
                                             public runner::coordinator_link {
 public:
  agent_process(simulated_fleet& fleet, worker& self)
      : fleet_(fleet),
        self_(self),
        runner_({.agent = self.name,
                 .agent_incarnation = self.agent_starts,
                 .confirm_within = kConfirmWithin},
                fleet.time_, fleet.metrics_, *this, *this) {}

  runner::runner& control() noexcept { return runner_; }

  bool Send(const jobs::worker_report& report) override {
    if (self_.connection == 0) return false;
    fleet_.Deliver(self_, [this, report] {
      if (fleet_.coordinator_) fleet_.coordinator_->OnReport(report);
    });
    return true;
  }

  void SetAddress(const std::string&) override {}
  void Start(const runner::start_call& call,
             std::function<void(runner::command_reply)> done) override {
    self_.target->Start(call, WhileAlive(std::move(done)));
  }
  void Stop(const jobs::run_id& run, std::uint64_t fence, const std::string& target,
            std::function<void(runner::command_reply)> done) override {
    self_.target->Stop(run, fence, target, WhileAlive(std::move(done)));
  }
  void Pace(const jobs::run_id&, std::uint32_t, std::uint64_t, const std::string&,
            std::function<void(runner::command_reply)>) override {}
  void Poll(const runner::poll_call& call, const std::string& target,
            std::function<void(runner::poll_reply)> done) override {
    self_.target->Poll(call, target, WhileAlive(std::move(done)));
  }

 private:
  template <class Answer>
  std::function<void(Answer)> WhileAlive(std::function<void(Answer)> done) {
    return [alive = std::weak_ptr<int>(alive_), done = std::move(done)](Answer answer) {
      if (!alive.expired()) done(std::move(answer));
    };
  }

  simulated_fleet& fleet_;
  worker& self_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  runner::runner runner_;
};

/// The coordinator's side of the connections.
class simulated_fleet::connections final : public jobs::agent_link {
 public:
  explicit connections(simulated_fleet& fleet) : fleet_(fleet) {}

  void Connect(const std::string& agent, const std::string&) override {
    fleet_.Find(agent).wanted = true;
  }
  void Forget(const std::string& agent) override { Drop(fleet_.Find(agent)); }
  void ForgetAll() override {
    for (const auto& each : fleet_.workers_) Drop(*each);
  }
  void Send(const std::string& agent, const jobs::lease_grant& message) override {
    worker& to = fleet_.Find(agent);
    fleet_.Deliver(to, [&to, message] { to.agent->control().OnGrant(message); });
  }
  void Send(const std::string& agent, const jobs::worker_commands& message) override {
    worker& to = fleet_.Find(agent);
    fleet_.Deliver(to, [&to, message] { to.agent->control().OnCommands(message); });
  }

 private:
  static void Drop(worker& each) {
    each.wanted = false;
    each.connection = 0;
  }

  simulated_fleet& fleet_;
};

simulated_fleet::simulated_fleet(std::size_t workers, std::uint64_t seed)
    : random_(seed), connections_(std::make_unique<connections>(*this)) {
  for (std::size_t index = 0; index < workers; ++index) {
    auto each = std::make_unique<worker>();
    each->name = fmt::format("w{}", index);
    each->target = std::make_unique<simulated_target>(each->name, events_, random_, history_);
    each->agent = std::make_unique<agent_process>(*this, *each);
    storage_.Put(jobs::AgentKey(each->name), "10.0.0.1:7000");
    workers_.push_back(std::move(each));
  }
  BeginTerm();
}

simulated_fleet::~simulated_fleet() = default;

simulated_fleet::worker& simulated_fleet::Find(const std::string& name) {
  return **std::find_if(workers_.begin(), workers_.end(),
                        [&](const auto& each) { return each->name == name; });
}

void simulated_fleet::Submit(const std::string& job, std::uint32_t tasks) {
  const jobs::job_record record{.queue = "q",
                                .service = "svc",
                                .attempts = 2,
                                .accepted_wall_ms = time_.WallNow().time_since_epoch().count(),
                                .spec = {"payload", {jobs::testing::TestStep(tasks)}}};
  storage_.Put(jobs::JobKey(job), wire::EncodeValue(record));
  if (!coordinator_) return;
  coordinator_->OnInboxChange({jobs::JobKey(job), storage_.entries.at(jobs::JobKey(job))});
}

void simulated_fleet::Cancel(const std::string& job) {
  storage_.Put(jobs::CancelKey(job), "1");
  if (!coordinator_) return;
  coordinator_->OnInboxChange({jobs::CancelKey(job), storage_.entries.at(jobs::CancelKey(job))});
}

std::optional<jobs::job_state> simulated_fleet::StateOf(const std::string& job) const {
  return coordinator_ ? coordinator_->StateOf(job) : std::nullopt;
}

void simulated_fleet::RestartAgent(std::size_t index, milliseconds downtime) {
  worker& self = *workers_[index];
  if (!self.agent) return;
  self.agent.reset();
  Disconnect(index);
  events_.After(downtime, [this, &self] {
    ++self.agent_starts;
    self.agent = std::make_unique<agent_process>(*this, self);
  });
}

void simulated_fleet::Disconnect(std::size_t index) {
  worker& self = *workers_[index];
  if (std::exchange(self.connection, 0) == 0) return;
  self.next_dial_at = time_.Now() + kRedialDelay;
  if (coordinator_) coordinator_->OnAgentDisconnected(self.name);
}

void simulated_fleet::Cut(std::size_t index, milliseconds duration) {
  core::mono_time& until = workers_[index]->cut_until;
  until = std::max(until, time_.Now() + duration);
}

void simulated_fleet::ReplaceCoordinator(milliseconds downtime) {
  if (!coordinator_) return;
  coordinator_.reset();
  connections_->ForgetAll();
  events_.After(downtime, [this] { BeginTerm(); });
}

void simulated_fleet::BeginTerm() {
  storage_.Put(std::string(jobs::kLeaderKey), "leader");
  term_ = storage_.revision;
  std::vector<store::kv_entry> inbox;
  std::vector<store::kv_entry> progress;
  for (const auto& [key, entry] : storage_.entries) {
    if (key.starts_with(jobs::kInboxPrefix)) inbox.push_back(entry);
    if (key.starts_with(jobs::kProgressPrefix)) progress.push_back(entry);
  }
  coordinator_ = std::make_unique<jobs::coordinator>(jobs::coordinator_options{}, time_, metrics_,
                                                     *connections_, storage_, authority_);
  coordinator_->SetQueues(std::make_shared<jobs::queue_catalogue>(
      1, std::vector<jobs::queue_config>{jobs::testing::TestQueue()},
      std::vector<jobs::service_config>{{"svc", false}}));
  if (observes_evacuations_) coordinator_->ObserveEvacuations(evacuations_);
  coordinator_->BeginTerm(term_, inbox, progress);
}

void simulated_fleet::ObserveEvacuations() {
  observes_evacuations_ = true;
  if (coordinator_) coordinator_->ObserveEvacuations(evacuations_);
}

void simulated_fleet::Deliver(worker& each, std::function<void()> deliver) {
  if (each.connection == 0) return;
  // All messages held back by a cut arrive at its end, in order.
  const core::mono_time arrival = std::max(time_.Now() + kMessageDelay, each.cut_until);
  events_.After(std::chrono::ceil<milliseconds>(arrival - time_.Now()),
                [&each, connection = each.connection, deliver = std::move(deliver)] {
                  if (each.connection == connection && each.agent) deliver();
                });
}

void simulated_fleet::Dial(worker& each) {
  const core::mono_time now = time_.Now();
  if (!coordinator_ || !each.wanted || !each.agent || each.connection != 0) return;
  if (now < each.next_dial_at || now < each.cut_until) return;
  each.connection = next_connection_++;
  Deliver(each, [&each, term = term_] {
    if (!each.agent->control().OnHello(term)) each.connection = 0;
  });
  coordinator_->OnAgentConnected(each.name);
}

milliseconds simulated_fleet::DrawAnnouncementDelay() {
  if (announcement_delay_.count() == 0) return announcement_delay_;
  return milliseconds{random_.Below(static_cast<std::uint64_t>(announcement_delay_.count()))};
}

void simulated_fleet::Step() {
  events_.Advance(kStep);
  const core::mono_time now = time_.Now();
  for (const auto& each : workers_) {
    each->target->Step();
    Dial(*each);
    const bool booted = std::exchange(each->announced_incarnation, each->target->incarnation()) !=
                        each->target->incarnation();
    if (booted) each->next_announcement_at = now + DrawAnnouncementDelay();
    if (!each->agent || now < each->next_announcement_at) continue;
    each->next_announcement_at = now + kAnnouncementPeriod;
    if (const auto next = each->target->Announce()) each->agent->control().OnAnnouncement(*next);
  }
  if (now < next_tick_at_) return;
  next_tick_at_ = now + kTick;
  for (const auto& each : workers_) {
    if (each->agent) each->agent->control().Tick();
  }
  if (coordinator_) coordinator_->Tick();
  storage_.Pump();
}

void simulated_fleet::Pass(milliseconds duration) {
  const core::mono_time until = time_.Now() + duration;
  while (time_.Now() < until) Step();
}

}  // namespace coltsfoot::simulation
