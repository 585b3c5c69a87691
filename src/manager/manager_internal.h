// What the manager keeps of each viewer, box and playback; for its own files only.
#pragma once

#include "hls/continuity/continuity.h"
#include "manager/manager.h"

namespace violettide::manager {

struct Manager::ViewerConnection {
  // What its request is for; all but `object` are HLS.
  enum class Resource { object, multivariant_playlist, media_playlist, segment, steering };
  Resource resource = Resource::object;
  signed_url::Claims claims;
  bool url_expired = false, delta_update = false, blocking_reload = false;
  std::string box_target;  // at the box, of what is no plain object
  int source_rung = 0;     // of the media playlist that fills the one asked for
  ConnectionId id = 0;
  http::RequestReader reader;
  http::Request request;
  hints::ReadCmcd hints;
  MediaPath media_path;
  std::string token;          // entitlement, as shown
  std::string trace_context;  // W3C trace context, passed on as it came
  std::optional<PlaybackId> playback_id;
  ConnectionId box_connection = 0;  // the link its object comes by
  bool busy = false, waits_for_setup = false, head_sent = false, chunked = false;
  bool close_after = false, half_closed = false, reading_paused = false;
  bool retried = false;  // on another connection, after a kept one had died
  Duration received_at{0};
  std::size_t unsent_bytes = 0;
  Timers::Handle stall_timer;
};

struct Manager::BoxConnection {
  ConnectionId id = 0;
  ServerId server = 0;
  ConnectionPurpose purpose = ConnectionPurpose::idle;
  bool connected = false, reused = false;  // kept: it served another request before
  bool head_received = false, keep_alive = true, reading_paused = false, paused_since_measure = false;
  bool collects_playlist = false;  // a playlist: taken whole before anything of it is told
  bool off_ladder = false;         // audio and the like: no rung tells its rate
  std::string unsent_request;      // the request, until it is connected
  http::ResponseReader reader;
  std::optional<PlaybackId> playback_id;
  ConnectionId viewer_connection = 0;
  Timers::Handle response_timer, connect_timer;
  Duration sent_at{0}, head_received_at{0}, measured_at{0};
  int rung = 0, status = 0;
  double object_bytes_per_s = 0;  // bytes a second that deliver it in its own duration
  std::uint64_t received_bytes = 0, measured_bytes = 0;
  std::string body;                      // of a list
  std::string target, content_encoding;  // of a playlist
  std::string cmsd_dynamic;              // CMSD-Dynamic as the box said it, empty where malformed
};

// What a playback has beyond that when players read it by playlists.
struct Manager::HlsState {
  HlsState(const hls::RungPolicyOptions& terms, int floor) : rung_policy(terms, floor) {}
  struct Player {
    Duration last_seen{0};
    std::map<std::string, hls::Continuity> continuities;  // by the place of the media playlist
  };
  hls::RungPolicy rung_policy;
  std::string token;                           // shown last: a box lost needs no new one
  std::map<int, std::string> media_playlists;  // by rung: where its media playlist is at a box
  std::map<int, bool> shared_directory;
  hls::Variables variables;
  std::map<int, Player> players;
  int next_player = 1;
  Duration target_duration{0};
};

struct Manager::Playback {
  PlaybackId id = 0;
  std::string key;
  int plan = 0;
  std::string title;
  std::optional<catalogue::RecordingId> recording;
  TitleId title_id = 0;
  bool playing = false, bound_to_connection = false;
  ServerId server = 0;
  int rung = 0;
  int tries = 0;
  Duration setup_requested_at{0};
  std::vector<ConnectionId> waiting_viewers;  // viewers' links that wait for the set-up
  ConnectionId try_connection = 0;
  bool last_try_timed_out = false;
  std::size_t objects_in_flight = 0;
  Duration buffer_length{0};
  std::string session_id;
  std::unique_ptr<HlsState> hls;
  std::optional<Request> pending_request;  // to be told to the module once it is entitled
  std::optional<entitlement::SeatKey> seat;
  std::string token;
  Timers::Handle setup_deadline_timer, idle_timer;
};

// A connection of an operator, a tool or another front's feed.
struct Manager::ControlConnection {
  ConnectionId id = 0;
  http::RequestReader reader;
  bool busy = false, close_after = false;
  std::optional<catalogue::Revision> feed_after;  // waits for news behind it
  Timers::Handle feed_wait_timer;
};

}  // namespace violettide::manager
