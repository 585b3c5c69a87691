// State that the manager keeps for each connection and playback. Only the manager's own source files include
// this header.
#pragma once

#include "hls/continuity/continuity.h"
#include "manager/manager.h"

namespace violettide::manager {

// A viewer's HTTP connection and the request that it is being served. Requests are served one at a time;
// pipelined ones wait in `reader`.
struct Manager::ViewerConnection {
  // What the request asks for. All but `object` belong to HLS.
  enum class Resource { object, multivariant_playlist, media_playlist, segment, steering };
  Resource resource = Resource::object;
  signed_url::Claims claims;
  bool url_expired = false;
  bool delta_update = false;
  bool blocking_reload = false;
  std::string box_target;  // request target at the box, for HLS resources
  int source_rung = 0;     // rung of the media playlist that fills the requested one
  ConnectionId id = 0;
  http::RequestParser reader;
  http::Request request;
  hints::ParsedCmcd hints;
  MediaPath media_path;
  std::string token;          // entitlement token of the request, empty if it has none
  std::string trace_context;  // W3C trace context, forwarded unchanged
  std::optional<PlaybackId> playback_id;
  ConnectionId box_connection = 0;  // connection that its response comes from, 0 if there is none
  bool busy = false;                // a request is being served
  bool waits_for_setup = false;
  bool head_sent = false;
  bool chunked = false;
  bool close_after = false;  // close once the response is sent
  bool half_closed = false;
  bool reading_paused = false;
  bool retried = false;     // the request was sent again after a reused box connection failed
  Duration received_at{0};  // arrival of the request
  std::size_t unsent_bytes = 0;
  Timers::Handle stall_timer;
  Timers::Handle request_timer;  // runs while a request is partly received
};

// A connection to a box or, for the box list, the catalogue feed and token keys, to another service.
struct Manager::BoxConnection {
  ConnectionId id = 0;
  ServerId server = 0;
  ConnectionPurpose purpose = ConnectionPurpose::idle;
  bool connected = false;
  bool reused = false;  // it has carried an earlier request
  bool head_received = false;
  bool keep_alive = true;
  bool reading_paused = false;        // backpressure from the viewer
  bool paused_since_measure = false;  // reading was paused since the delivery rate was last measured
  bool collects_playlist = false;     // the body is a playlist and is buffered until it is complete
  bool off_ladder = false;            // audio and the like, whose rate no rung of the ladder gives
  std::string unsent_request;         // the request, until the connection is open
  http::ResponseParser reader;
  std::optional<PlaybackId> playback_id;
  ConnectionId viewer_connection = 0;
  Timers::Handle response_timer, connect_timer;
  Duration sent_at{0};
  Duration head_received_at{0};
  Duration measured_at{0};
  int rung = 0;
  int status = 0;
  double object_bytes_per_s = 0;  // rate that delivers the object in its own duration, 0 if unknown
  std::uint64_t received_bytes = 0;
  std::uint64_t measured_bytes = 0;  // part of `received_bytes` that was already measured
  std::string body;                  // buffered body of a playlist or of a service's response
  std::string target;                // request target of a playlist
  std::string content_encoding;      // of a playlist
  std::string cmsd_dynamic;          // CMSD-Dynamic field as received, empty if it was malformed
};

// What a playback keeps in addition when players read it by HLS playlists.
struct Manager::HlsState {
  HlsState(const hls::RungPolicyOptions& options, int floor) : rung_policy(options, floor) {}
  // One of the players that share the session id.
  struct Player {
    Duration last_seen{0};
    std::map<std::string, hls::Continuity> continuities;  // by path of the media playlist
  };
  hls::RungPolicy rung_policy;
  std::string token;  // last token presented: a viewer whose box is lost needs no new one
  std::map<int, std::string> media_playlists;  // by rung: path of its media playlist at a box
  std::map<int, bool> shared_directory;        // by rung: another playlist lies in the same directory
  hls::Variables variables;                    // defined by the multivariant playlist
  std::map<int, Player> players;
  int next_player = 1;
  Duration target_duration{0};
};

// A playback from its first request until it is rejected, aborted or over.
struct Manager::Playback {
  PlaybackId id = 0;
  std::string key;
  int plan = 0;
  std::string title;
  std::optional<catalogue::RecordingId> recording;
  TitleId title_id = 0;
  bool playing = false;              // a set-up try succeeded
  bool bound_to_connection = false;  // the viewer gave no session id: the playback ends with its connection
  ServerId server = 0;
  int rung = 0;
  int tries = 0;
  Duration setup_requested_at{0};             // -1 until the set-up is requested
  std::vector<ConnectionId> waiting_viewers;  // viewers' connections that wait for the set-up
  ConnectionId try_connection = 0;            // connection of the try in progress, 0 if there is none
  bool last_try_timed_out = false;
  std::size_t objects_in_flight = 0;
  Duration buffer_length{0};  // as the player last reported it
  std::string session_id;
  std::unique_ptr<HlsState> hls;
  std::optional<Request> pending_request;  // passed to the policy once the seat is granted
  std::optional<entitlement::SeatKey> seat;
  std::string token;
  Timers::Handle setup_deadline_timer, idle_timer;
};

// A connection to the control port: from an operator, a tool or another manager's catalogue feed.
struct Manager::ControlConnection {
  ConnectionId id = 0;
  http::RequestParser reader;
  bool busy = false;
  bool close_after = false;
  std::optional<catalogue::Revision> feed_after;  // revision after which a long poll waits for changes
  Timers::Handle feed_wait_timer;
  Timers::Handle request_timer;  // runs while a request is partly received
};

}  // namespace violettide::manager
