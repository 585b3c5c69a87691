// Case 2: video servers are replaced while viewers come and go. The session manager must not crash.
#include "world.h"

using namespace review;

namespace {

constexpr unsigned server_count = 12;
constexpr int cells = 3;
// One at a time, less than "six in ten video servers are replaced within 7 s".
constexpr int replaced_count = 30;
constexpr double first_ms = 15000, between_ms = 1500;
// From a process's death to the start of the one in its place, and from then to its being told.
constexpr double restart_ms = 500, told_ms = 700;
// "About 25 set-ups a second reach the busiest session manager"
constexpr double offers_per_ms = 0.025;
// Viewers whose video server is lost leave within this time.
constexpr unsigned leave_within_ms = 700;
constexpr double offers_until_ms = 60000;
constexpr double end_ms = 67000;

}  // namespace

int main(int count, char** arguments) {
  if (count < 3)
    return 2;
  const bool trouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
  ::signal(SIGPIPE, SIG_IGN);
  start_ms();
  Record::get().open(arguments[2]);
  World world;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<const Server*> listed;
  for (unsigned i = 0; i < server_count; ++i) {
    auto& server = *servers.emplace_back(std::make_unique<Server>(world, "s-" + std::to_string(i + 1), 2 + i));
    server.zone = "hall-" + std::string(1, static_cast<char>('a' + i % 3));
    server.cell = static_cast<int>(i) * cells / static_cast<int>(server_count);
    server.share = "";  // nothing falls short
    server.start();
    listed.push_back(&server);
  }
  Channel channel(world, 1);
  channel.tell(listed, true);
  Manager manager(world, 0, arguments[1]);
  manager.settings = small_settings(cells, 1);
  manager.copy_log_to_record = true;
  manager.start(channel);

  Viewers viewers(world, manager);
  viewers.wait_longer_ms = 550;
  std::mt19937 random(std::random_device{}());
  std::function<void()> next_viewer = [&] {
    const bool escalation = random() % 100 < 35;
    const auto title = random() % 12;
    viewers.offer(escalation ? "escalation" : "triage", "crash-" + std::to_string(title),
                  static_cast<int>(title % cells), 1, escalation ? 4000 : 5000);
    if (now_ms() < offers_until_ms)
      world.after(std::exponential_distribution<>(offers_per_ms)(random), next_viewer);
  };
  world.after(500, next_viewer);
  viewers.on_accept = [&](Call call, Viewers::Session&) {
    world.after(6000 + random() % 6000, [&, call] { viewers.end(call); });
  };

  // Each replacement has a new id and a port of its own; nothing takes the address of what has gone.
  std::vector<Server*> in_place;
  for (auto& server : servers)
    in_place.push_back(server.get());
  for (int i = 0; trouble && i < replaced_count; ++i) {
    world.at(first_ms + between_ms * i, [&, i] {
      const auto place = static_cast<unsigned>(i) * 5 % server_count;
      auto& old = *in_place[place];
      for (const auto& [call, session] : old.sessions) {
        if (session.standing)
          world.after(random() % leave_within_ms, [&, call = call] { viewers.end(call); });
      }
      old.die();
      world.after(restart_ms, [&, place] {
        auto& next = *servers.emplace_back(
            std::make_unique<Server>(world, "s-" + std::to_string(servers.size() + 1), 0));
        next.ip = old.ip;
        next.zone = old.zone;
        next.cell = old.cell;
        next.share = "";
        next.since_ms = unix_ms();
        next.start();
        in_place[place] = &next;
        world.after(told_ms, [&] {
          old.status = "Gone";
          channel.tell({&old, &next});
        });
      });
    });
  }
  double ended_at = -1;
  std::function<void()> watch = [&] {
    if (manager.running())
      return world.after(10, watch);
    ended_at = now_ms();
    RECORD("broken: the session manager has ended, %s %d", WIFSIGNALED(manager.exit_status) ? "signal" : "code",
           WIFSIGNALED(manager.exit_status) ? WTERMSIG(manager.exit_status) : WEXITSTATUS(manager.exit_status));
  };
  watch();
  while (now_ms() < end_ms && (ended_at < 0 || now_ms() < ended_at + 3000))
    world.run_until(now_ms() + 100);

  std::size_t served = 0, lost = 0, not_taken = 0, stood = 0;
  for (const auto& [call, session] : viewers.sessions) {
    served += session.desc.empty() ? 0 : 1;
    lost += session.lost || (session.answers == 0 && !session.not_taken) ? 1 : 0;
    not_taken += session.not_taken ? 1 : 0;
    stood += ended_at >= 0 && session.answered_at < ended_at && !session.desc.empty() &&
                     (session.stands || session.ended_at > ended_at)
                 ? 1
                 : 0;
  }
  char summary[300];
  if (ended_at < 0)
    std::snprintf(summary, sizeof summary, "%zu set-ups: %zu served, %zu lost; the session manager runs",
                  viewers.sessions.size(), served, lost);
  else
    std::snprintf(summary, sizeof summary,
                  "%zu set-ups: %zu served, %zu lost, %zu not taken any more; the session manager crashed at %.1f s, "
                  "with %zu sessions that stood",
                  viewers.sessions.size(), served, lost, not_taken, ended_at / 1000, stood);
  RECORD("%s", summary);
  std::puts(summary);
  manager.finish_log();
  if (served < 100)
    return 2;
  return ended_at >= 0 || lost > 0 ? 1 : 0;
}
