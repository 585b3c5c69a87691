// What a session manager is told of its deployment and of its own place in it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "catalogue/replica.h"
#include "entitlement/ledger/ledger.h"
#include "entitlement/token_validator/token_validator.h"
#include "hls/playback_policy/playback_policy.h"
#include "hls/playlist.h"
#include "http/http.h"
#include "peers/peers.h"
#include "policy/policy.h"
#include "signed_url/signed_url.h"

namespace violettide::manager {

struct Plan {
  std::string name;
  Duration abandon_time{0};  // a viewer waits so long for a set-up
};

// Where a recording lies: the boxes of so many cells in a row.
struct HolderCells {
  int first_cell = 0;
  int cell_count = 1;
  std::optional<Duration> length;
};
struct Recording {
  std::string title;
  HolderCells holders;
};

// The second front: HLS. Without a secret there is none.
struct HlsSettings {
  signed_url::KeyRingOptions url_keys;
  bool direct_segments = false;        // segments straight from the box; playlists by this front in any case
  hls::RungPolicyOptions rung_policy;  // `idle_timeout` is the front's own `silence`
  hls::PlaylistLimits playlist_limits;
  int max_players = 4;                     // players that may share one session id
  std::size_t max_ended_playbacks = 4096;  // playbacks that are over, remembered for their old addresses
  std::size_t playlist_cache_bytes = 64 * 1024 * 1024;  // of boxes' playlists as read last
  bool enabled() const { return !url_keys.secrets.empty(); }
};

// Seats of teams, by tokens. Off, no token is asked for.
struct EntitlementSettings {
  bool enabled = false;
  entitlement::TokenValidatorSettings token_validator;
  std::string keys_address = "127.0.0.1", keys_path = "/keys";
  std::uint16_t keys_port = 0;
  entitlement::LedgerSettings ledger;  // its peers are those of `peers`
  std::uint32_t restart_number = 1;    // of this process
  std::vector<entitlement::Record> stored_records;
  Duration max_retry_after{30'000'000};  // where no seat is free
  Duration tick_interval{100'000};       // time passes for seats, keys and peers
};

struct ManagerSettings {
  std::string name = "front";  // in Via and CMSD
  PolicySettings policy;       // what the module reads
  std::vector<Plan> plans;     // in the order of site.plans
  std::vector<std::string> halls;
  std::vector<Recording> recordings;    // sorted by title; others lie where their name's hash says
  int default_cell_count = 3;           // cells in a row that hold a title without an entry
  Duration object_duration{1'000'000};  // where a box doesn't say
  std::string box_list_address = "127.0.0.1";
  std::uint16_t box_list_port = 0;
  Duration box_list_interval{500'000};
  Duration probe_timeout{250'000};
  Duration connect_timeout{250'000};
  Duration idle_timeout{
      10'000'000};  // a playback that asks nothing for so long, and what it has in its buffer, is over
  std::size_t max_connections_per_box = 256;
  std::size_t max_idle_connections_per_box = 16;
  std::size_t max_viewer_connections = 10'000;
  std::size_t max_unsent_bytes = 256 * 1024;  // bytes to one viewer before its box is held
  Duration shutdown_timeout{5'000'000};
  http::Limits http_limits;
  HlsSettings hls;
  EntitlementSettings entitlement;
  peers::PeerSettings peers;       // none: this manager is alone
  int peer_listener = 2;           // where other managers come in
  Duration wall_clock_at_zero{0};  // the machine's clock at the core's time 0
  // With a catalogue, holders come from it alone; without, from `recordings` and names' hashes.
  bool has_catalogue = false;
  catalogue::ReplicaConfig replica;
  std::string feed_address = "127.0.0.1";
  std::uint16_t feed_port = 0;     // 0: changes come by this front's own resource only
  Duration feed_wait{10'000'000};  // a feed may keep us waiting so long for news
  std::size_t demand_capacity = 512;
  Duration demand_half_life{60'000'000};
};

HolderCells holder_cells(const ManagerSettings& terms, std::string_view title);

// `/PLAN/TITLE/rN/OBJECT`, the path of every media object.
struct MediaPath {
  int plan = 0;
  std::string title;
  int rung = 0;
  std::string object;
};
struct PathError {
  std::string cause;
};
std::variant<MediaPath, PathError> parse_media_path(const ManagerSettings& terms, std::string_view target);
std::string format_media_path(const ManagerSettings& terms, const MediaPath& path, int rung);

}  // namespace violettide::manager
