// Case 3: video servers are replaced by new ones at their addresses. What the old ones had cut must be released.
#include "world.h"

using namespace review;

namespace {

constexpr unsigned server_count = 12;
constexpr int cells = 3;
// A quarter of the servers, in steps.
constexpr unsigned replaced_count = 3;
constexpr double first_ms = 15000, between_ms = 2000;
// From a process's death to the start of the new one at its address, and from then to its being told.
constexpr double restart_ms = 200, told_ms = 1000;
// "About 4.2 new playbacks a second"
constexpr double offers_per_ms = 0.0042;
constexpr double offers_until_ms = 40000;
constexpr double end_ms = 55000;
// "within 8 s of its end if no release could be sent", and every time limit 50 ms longer.
constexpr double release_ms = 8050;

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
  // Sessions of 18 to 49 s, which the video server ends.
  viewers.on_accept = [&](Call call, Viewers::Session&) {
    world.after(18000 + random() % 31000, [&, call] {
      for (auto& server : servers) {
        if (server->alive && server->sessions.contains(call))
          server->end_session(call, 16);
      }
    });
  };

  for (unsigned i = 0; trouble && i < replaced_count; ++i) {
    world.at(first_ms + between_ms * i, [&, i] {
      auto& old = *servers[i * 5 % server_count];
      old.die();
      world.after(restart_ms, [&] {
        auto& next = *servers.emplace_back(
            std::make_unique<Server>(world, "s-" + std::to_string(servers.size() + 1), 0));
        next.ip = old.ip;
        next.port = old.port;
        next.zone = old.zone;
        next.cell = old.cell;
        next.share = "";
        next.since_ms = unix_ms();
        next.start();
        world.after(told_ms, [&] {
          old.status = "Gone";
          channel.tell({&old, &next});
        });
      });
    });
  }
  world.run_until(end_ms);

  const bool running = manager.running();
  std::size_t served = 0, cut = 0, late = 0, never = 0, unanswered = 0;
  for (const auto& [call, session] : viewers.sessions) {
    served += session.desc.empty() ? 0 : 1;
    unanswered += session.lost || (session.answers == 0 && !session.not_taken) ? 1 : 0;
  }
  for (const auto& server : servers) {
    for (const auto& [call, at] : server->cut_at) {
      const auto& session = viewers.sessions[call];
      if (session.answers == 0)
        continue;  // its answer was cut off as well
      ++cut;
      if (session.stands)
        ++never, RECORD("broken: %s, cut at %.0f with %s, was never released", hex(call).c_str(), at,
                        server->name.c_str());
      else if (session.ended_at > at + release_ms)
        ++late, RECORD("broken: %s, cut at %.0f with %s, was released at %.0f", hex(call).c_str(), at,
                       server->name.c_str(), session.ended_at);
    }
  }
  char summary[300];
  std::snprintf(summary, sizeof summary,
                "%zu set-ups: %zu served, %zu lost; of %zu sessions that ended with their server %zu were released "
                "after more than 8.05 s, %zu never (watched for 36 s at least); the session manager %s",
                viewers.sessions.size(), served, unanswered, cut, late, never, running ? "runs" : "has ended");
  RECORD("%s", summary);
  std::puts(summary);
  manager.finish_log();
  if (!running || served < 50 || (trouble && cut == 0))
    return 2;
  return late + never + unanswered > 0 ? 1 : 0;
}
