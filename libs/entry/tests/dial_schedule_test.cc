#include "dial_schedule.h"

#include <doctest/doctest.h>

namespace coltsfoot::entry {
namespace {

using core::milliseconds;
using links = std::vector<std::string>;

constexpr core::mono_time kStart{std::chrono::hours{1}};
constexpr dial_limits kLimits{
    .unconfirmed = 2, .dial_time = milliseconds{3000}, .retry_delay = milliseconds{200}};

}  // namespace

// Guards against a new agent that waits for a crowd of addresses that do not answer, and against a
// lost agent that waits for either.
TEST_CASE("new links go before failed ones, and links that were up are not limited") {
  dial_schedule dials(kLimits);
  CHECK(dials.is_idle());
  for (const char* link : {"known", "forged-1", "forged-2"}) dials.Add(link, kStart);
  CHECK(dials.TakeDue(kStart) == links{"forged-1", "forged-2"});
  CHECK(dials.TakeDue(kStart).empty());
  CHECK(dials.Overdue(kStart + kLimits.dial_time).empty());
  core::mono_time now = kStart + kLimits.dial_time + milliseconds{1};
  CHECK(dials.Overdue(now) == links{"forged-1", "forged-2"});
  for (const char* link : {"forged-1", "forged-2"}) dials.OnDown(link, now);
  now += kLimits.retry_delay;
  CHECK(dials.TakeDue(now) == links{"known", "forged-1"});
  dials.OnUp("known");
  dials.Add("new", now);
  CHECK(dials.TakeDue(now) == links{"new"});
  dials.OnDown("known", now);
  CHECK(dials.TakeDue(now).empty());
  CHECK(dials.TakeDue(now + kLimits.retry_delay) == links{"known"});

  // A removed link frees its dial, and another endpoint is unconfirmed again.
  dials.Remove("new");
  CHECK(dials.TakeDue(now + kLimits.retry_delay) == links{"forged-2"});
  dials.Add("known", now);
  CHECK(dials.TakeDue(now + kLimits.retry_delay).empty());
  for (const char* link : {"known", "forged-1", "forged-2"}) dials.Remove(link);
  CHECK(dials.is_idle());
}

}  // namespace coltsfoot::entry
