// Playlists: what reading and writing them costs beside a plain copy, what reading on saves, and what a
// storm of reloads and a session cost the manager's core.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>

#include "gzip/gzip.h"
#include "hls/continuity/continuity.h"
#include "manager/manager.h"
#include "path.h"

namespace violettide::bench {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
double since(Clock::time_point from) { return std::chrono::duration<double>(Clock::now() - from).count(); }

std::string live(std::size_t from, std::size_t count) {
  std::string text =
      "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:" + std::to_string(from) +
      "\n";
  for (auto i = from; i < from + count; ++i) {
    char time[64];
    std::snprintf(time, sizeof time, "#EXT-X-PROGRAM-DATE-TIME:2026-01-%02zuT%02zu:%02zu:%02zu.000Z\n",
                  1 + 2 * i / 86400, 2 * i / 3600 % 24, 2 * i / 60 % 60, 2 * i % 60);
    text += time + std::string("#EXTINF:2.000,\nseg-") + std::to_string(i) + ".m4s\n";
  }
  return text;
}

hls::MediaPlaylist media_of(std::string text, const hls::MediaPlaylist* before = nullptr) {
  return std::get<hls::MediaPlaylist>(hls::parse_media_playlist(std::move(text), {}, {}, before));
}

// Seconds for each of so many runs, in turn with the others, the best of five rounds.
double best(const std::function<void()>& run, std::size_t times) {
  double least = 1e9;
  for (int round = 0; round < 5; ++round) {
    const auto from = Clock::now();
    for (std::size_t i = 0; i < times; ++i)
      run();
    least = std::min(least, since(from) / static_cast<double>(times));
  }
  return least;
}

void rewriting() {
  std::printf("\n%-34s %10s %12s %12s %12s\n", "playlist (one reload)", "bytes", "us", "MB/s",
              "x plain copy");
  for (const std::size_t count : {8, 200, 20'000}) {
    const auto older = live(100, count), newer = live(101, count);
    const auto before = media_of(older);
    const auto times = std::max<std::size_t>(3, 400'000 / count / 10);
    std::size_t sum = 0;
    const auto row = [&](const char* what, double seconds, double copy) {
      std::printf("%6zu segments, %-16s %10zu %12.2f %12.0f %12.1f\n", count, what, newer.size(),
                  seconds * 1e6, static_cast<double>(newer.size()) / 1e6 / seconds, seconds / copy);
    };
    const double copy = best([&] { sum += std::string(newer).size(); }, times * 20);
    row("plain copy", copy, copy);
    row("same as before",
        best(
            [&] {
              std::string came(older);
              if (came == before.text)
                sum += std::string(before.text).size();
            },
            times * 10),
        copy);
    const auto write = [&](hls::MediaPlaylist media, bool moved) {
      const auto shared = std::make_shared<const hls::MediaPlaylist>(std::move(media));
      hls::Window window{{}, shared->media_sequence, 0, false};
      window.slices.push_back({shared, 0, static_cast<std::uint32_t>(shared->segments.size()), 0, 0, false});
      hls::WriteOptions terms;
      if (moved) {
        terms.is_relocated = [](const hls::PlaylistSlice&) { return true; };
        terms.rewrite_uri = [](const hls::PlaylistSlice&, std::string_view uri,
                               hls::Tag) -> hls::RewrittenUri { return "/~/token/" + std::string(uri); };
      }
      sum += std::get<std::string>(hls::write_media_playlist(window, terms)).size();
    };
    row("read on", best([&] { write(media_of(newer, &before), false); }, times), copy);
    row("read whole", best([&] { write(media_of(newer), false); }, times), copy);
    row("whole, addressed", best([&] { write(media_of(newer), true); }, times), copy);
    if (sum == 0)
      std::printf("nothing was written\n");
  }
}

// A box that is always well, and so many players, against the core itself: no sockets, one thread.
class Storm {
 public:
  explicit Storm(std::size_t players, std::size_t window) : players_(players), window_(window) {
    manager::ManagerSettings terms;
    terms.name = "m";
    terms.policy.rung_kb = {12.5, 25};
    terms.policy.rung_revenue = {0.5, 1};
    terms.policy.plans.resize(1);
    terms.policy.plans[0].startup_target = 800ms;
    terms.policy.plans[0].top = 1;
    terms.policy.streams_by_kind = {1e6};
    terms.policy.has_weights = true;
    terms.policy.link_kb_per_weight = 1e9;
    terms.policy.max_tries = 3;
    terms.policy.front_count = 1;
    terms.plans = {{"a", 4s}};
    terms.halls = {"h"};
    terms.max_viewer_connections = players + 10;
    terms.max_connections_per_box = players + 10;
    terms.hls.url_keys.secrets = {"secret"};
    terms.wall_clock_at_zero = 1000h;
    front_ = std::make_unique<manager::Manager>(
        terms, 1,
        "{\"revision\":1,\"clock_ms\":1,\"boxes\":[{\"name\":\"b\",\"address\":\"127.0.0.1\",\"port\":1,"
        "\"state\":\"ready\",\"kind\":0,\"cell\":0,\"hall\":\"h\",\"weight\":1}]}",
        nullptr);
    hand(TimerFired{});
    lists_ = answer("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=100000\nr0/index.m3u8\n");
  }

  void run(std::size_t rounds) {
    const auto heap = [] {
      const auto info = mallinfo2();
      return static_cast<double>(info.uordblks + info.hblkhd);
    };
    const double before = heap();
    auto from = Clock::now();
    for (std::size_t i = 0; i < players_; ++i) {
      const ConnectionId link = first_accepted + static_cast<ConnectionId>(i);
      hand(Accepted{link, 0});
      const auto text = ask(link, "/a/title-" + std::to_string(i % 10) + "/index.m3u8",
                            "CMCD-Session: sid=\"session-" + std::to_string(i) + "\"\r\n");
      media_.push_back(text.substr(text.rfind("/~/"), text.size() - 1 - text.rfind("/~/")));
    }
    const double began = since(from) / static_cast<double>(players_);
    std::size_t bytes = 0;
    double reloads = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
      now_ += 2s;
      list_ = answer(live(100 + round, window_));
      from = Clock::now();
      for (std::size_t i = 0; i < players_; ++i)
        bytes += ask(first_accepted + static_cast<ConnectionId>(i), media_[i], "").size();
      reloads += since(from);
    }
    reloads /= static_cast<double>(players_ * rounds);
    const auto held = front_->resource_usage();
    std::printf(
        "%6zu players, %5zu segments: opened %6.1f us each; reload %6.1f us each (%.0f kB/s of lists a core "
        "could "
        "say); heap a session %.0f bytes, %zu bytes of boxes' lists\n",
        players_, window_, began * 1e6, reloads * 1e6,
        static_cast<double>(bytes) / static_cast<double>(players_ * rounds) / reloads / 1000,
        (heap() - before) / static_cast<double>(players_), held.playlist_cache_bytes);
    if (held.playbacks != players_)
      std::printf("only %zu of %zu playbacks are held\n", held.playbacks, players_);
  }

 private:
  static std::string answer(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  void hand(const IoEvent& what) { front_->handle(now_, what, actions_); }
  std::string ask(ConnectionId link, const std::string& target, const std::string& fields) {
    const auto request = "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n";
    hand(Received{link, request});
    std::string got;
    while (!actions_.empty()) {
      std::vector<Action> doing;
      doing.swap(actions_);
      for (auto& act : doing) {
        if (const auto* dial = std::get_if<Dial>(&act))
          hand(Connected{dial->connection});
        auto* send = std::get_if<Send>(&act);
        if (!send)
          continue;
        if (send->connection >= first_accepted) {
          got += send->bytes;
          hand(Flushed{send->connection});
        } else if (send->bytes.starts_with("HEAD")) {
          hand(Received{send->connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
        } else {
          const bool media = send->bytes.find("/r0/") < send->bytes.find("\r\n");
          hand(Received{send->connection, media ? list_ : lists_});
        }
      }
    }
    return got;
  }

  std::size_t players_, window_;
  std::unique_ptr<manager::Manager> front_;
  std::vector<Action> actions_;
  std::vector<std::string> media_;
  std::string lists_, list_;
  Duration now_ = 1ms;
};

}  // namespace

void hls_table() {
  rewriting();
  std::printf("\nreload storms through the manager's core, one thread, no sockets\n");
  for (const std::size_t window : {8, 200})
    Storm(10'000, window).run(5);
}

}  // namespace violettide::bench
