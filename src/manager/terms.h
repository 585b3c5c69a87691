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
  Duration abandon{0};  // a viewer waits so long for a set-up
};

// Where a recording lies: the boxes of so many cells in a row.
struct Holders {
  int first_cell = 0;
  int cells = 1;
  std::optional<Duration> length;
};
struct Recording {
  std::string title;
  Holders holders;
};

// The second front: HLS. Without a secret there is none.
struct HlsTerms {
  signed_url::KeyRingOptions passes;
  bool direct = false;          // segments straight from the box; playlists by this front in any case
  hls::RungPolicyOptions show;  // `idle_timeout` is the front's own `silence`
  hls::PlaylistLimits playlists;
  int most_readers = 4;            // players that may share one session id
  std::size_t parted_kept = 4096;  // playbacks that are over, remembered for their old addresses
  std::size_t lists_kept_bytes = 64 * 1024 * 1024;  // of boxes' playlists as read last
  bool on() const { return !passes.secrets.empty(); }
};

// Seats of teams, by tokens. Off, no token is asked for.
struct EntitlementTerms {
  bool on = false;
  entitlement::TokenValidatorSettings token_validator;
  std::string keys_address = "127.0.0.1", keys_path = "/keys";
  std::uint16_t keys_port = 0;
  entitlement::LedgerSettings ledger;  // its peers are those of `peers`
  std::uint32_t restart = 1;           // of this process
  std::vector<entitlement::Record> kept;
  Duration longest_come_back{30'000'000};  // where no seat is free
  Duration every{100'000};                 // time passes for seats, keys and peers
};

struct FrontTerms {
  std::string name = "front";  // in Via and CMSD
  PolicySettings site;         // what the module reads
  std::vector<Plan> plans;     // in the order of site.plans
  std::vector<std::string> halls;
  std::vector<Recording> recordings;  // sorted by title; others lie where their name's hash says
  int copies = 3;                     // cells in a row that hold a title without an entry
  Duration object_length{1'000'000};  // where a box doesn't say
  std::string list_address = "127.0.0.1";
  std::uint16_t list_port = 0;
  Duration list_every{500'000};
  Duration probe_limit{250'000};
  Duration connect_limit{250'000};
  Duration silence{
      10'000'000};  // a playback that asks nothing for so long, and what it has in its buffer, is over
  std::size_t links_per_box = 256;
  std::size_t idle_links_per_box = 16;
  std::size_t viewer_links = 10'000;
  std::size_t most_unsent = 256 * 1024;  // bytes to one viewer before its box is held
  Duration stop_limit{5'000'000};
  http::Limits http;
  HlsTerms hls;
  EntitlementTerms entitlement;
  peers::PeerSettings peers;  // none: this manager is alone
  int peer_door = 2;          // where other managers come in
  Duration wall_at_zero{0};   // the machine's clock at the core's time 0
  // With a catalogue, holders come from it alone; without, from `recordings` and names' hashes.
  bool catalogued = false;
  catalogue::ReplicaConfig keeper;
  std::string feed_address = "127.0.0.1";
  std::uint16_t feed_port = 0;     // 0: changes come by this front's own resource only
  Duration feed_wait{10'000'000};  // a feed may keep us waiting so long for news
  std::size_t demand_kept = 512;
  Duration demand_half_life{60'000'000};
};

Holders holders_of(const FrontTerms& terms, std::string_view title);

// `/PLAN/TITLE/rN/OBJECT`, the path of every media object.
struct MediaPath {
  int plan = 0;
  std::string title;
  int rung = 0;
  std::string object;
};
struct PathFault {
  std::string cause;
};
std::variant<MediaPath, PathFault> read_path(const FrontTerms& terms, std::string_view target);
std::string path_text(const FrontTerms& terms, const MediaPath& path, int rung);

}  // namespace violettide::manager
