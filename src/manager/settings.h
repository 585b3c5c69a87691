// Configuration of a session manager, and the paths of media objects.
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

// A subscription plan as viewers name it in paths.
struct Plan {
  std::string name;
  Duration abandon_time{0};  // time that a viewer waits for a set-up
};

// Where a recording is stored: on the boxes of `cell_count` consecutive cells.
struct HolderCells {
  int first_cell = 0;
  int cell_count = 1;
  std::optional<Duration> length;  // of the recording
};
// A recording whose location is configured.
struct Recording {
  std::string title;
  HolderCells holders;
};

// HLS. Enabled if there is a secret to sign URLs with.
struct HlsSettings {
  signed_url::KeyRingOptions url_keys;
  bool direct_segments = false;  // players fetch segments from the box; playlists always come from this front
  hls::RungPolicyOptions rung_policy;  // its `idle_timeout` is overwritten by the manager's
  hls::PlaylistLimits playlist_limits;
  int max_players = 4;                     // that may share one session id
  std::size_t max_ended_playbacks = 4096;  // playbacks whose state is kept for requests at their old URLs
  std::size_t playlist_cache_bytes = 64 * 1024 * 1024;  // limit of the cache of boxes' media playlists
  bool enabled() const { return !url_keys.secrets.empty(); }
};

// Team seats granted by tokens. No token is required if disabled.
struct EntitlementSettings {
  bool enabled = false;
  entitlement::TokenValidatorSettings token_validator;
  std::string keys_address = "127.0.0.1";
  std::string keys_path = "/keys";
  std::uint16_t keys_port = 0;         // 0: keys are not fetched
  entitlement::LedgerSettings ledger;  // its peers are overwritten by those of `ManagerSettings::peers`
  std::uint32_t restart_number = 1;    // increases with each start of this manager
  std::vector<entitlement::Record> stored_records;  // read from the seat log at the start
  Duration max_retry_after{30'000'000};             // told to viewers when no seat is free
  Duration tick_interval{100'000};                  // period of the timer for seats, keys and peers
};

// Everything that a manager is configured with.
struct ManagerSettings {
  std::string name = "front";  // in Via and CMSD
  PolicySettings policy;       // settings of the placement policy
  std::vector<Plan> plans;     // in the order of `policy.plans`
  std::vector<std::string> halls;
  std::vector<Recording> recordings;  // sorted by title; the hash of the title places all others
  int default_cell_count = 3;         // consecutive cells that hold a title without an entry in `recordings`
  Duration object_duration{1'000'000};  // assumed where a box doesn't report it
  std::string box_list_address = "127.0.0.1";
  std::uint16_t box_list_port = 0;
  Duration box_list_interval{500'000};
  Duration probe_timeout{250'000};
  Duration connect_timeout{250'000};
  // A playback without requests for this long, and for as long as its buffer lasts, is over.
  Duration idle_timeout{10'000'000};
  // From the first byte of a request to its last, of viewers and at the control port, where batches are long.
  Duration request_timeout{10'000'000};
  Duration control_request_timeout{60'000'000};
  std::size_t max_connections_per_box = 256;
  std::size_t max_idle_connections_per_box = 16;
  std::size_t max_viewer_connections = 10'000;
  std::size_t max_unsent_bytes = 256 * 1024;  // to one viewer, beyond which reading from its box is paused
  Duration shutdown_timeout{5'000'000};       // until a graceful shutdown ends regardless of open requests
  http::Limits http_limits;
  HlsSettings hls;
  EntitlementSettings entitlement;
  peers::PeerSettings peers;       // empty: this manager has no peers
  int peer_listener = 2;           // listener for other managers' connections
  Duration wall_clock_at_zero{0};  // wall-clock time at the core's time 0
  // With a catalogue, holders come from it alone; without one, from `recordings` and hashes of titles.
  bool has_catalogue = false;
  catalogue::ReplicaConfig replica;
  std::string feed_address = "127.0.0.1";
  std::uint16_t feed_port = 0;                     // 0: changes come only through this manager's control port
  Duration feed_wait{10'000'000};                  // time that a long poll of the feed may wait for changes
  std::size_t max_feed_bytes = 512 * 1024 * 1024;  // of one response of the feed
  std::size_t demand_capacity = 512;               // recordings whose demand is tracked
  Duration demand_half_life{60'000'000};
};

// Returns the cells that hold a title: its entry in `recordings`, or the cells that its hash selects.
HolderCells holder_cells(const ManagerSettings& settings, std::string_view title);

// The path of a media object, `/PLAN/TITLE/rN/OBJECT`.
struct MediaPath {
  int plan = 0;
  std::string title;
  int rung = 0;
  std::string object;
};
// Why a path names no media object.
struct PathError {
  std::string cause;
};
// Parses a request target and ignores its query. The title and object are percent-decoded.
std::variant<MediaPath, PathError> parse_media_path(const ManagerSettings& settings, std::string_view target);
// Formats a path with `rung` in place of its own.
std::string format_media_path(const ManagerSettings& settings, const MediaPath& path, int rung);

}  // namespace violettide::manager
