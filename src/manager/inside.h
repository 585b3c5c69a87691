// What the manager keeps of each viewer, box and playback; for its own files only.
#pragma once

#include "hls/continuity/continuity.h"
#include "manager/manager.h"

namespace violettide::manager {

struct Manager::ViewerLink {
  // What its request is for; all but `object` are HLS.
  enum class Wants { object, lists, media_list, segment, steering };
  Wants wants = Wants::object;
  signed_url::Claims pass;
  bool pass_expired = false, delta = false, blocks = false;
  std::string place;  // at the box, of what is no plain object
  int fill_rung = 0;  // of the media playlist that fills the one asked for
  ConnectionId link = 0;
  http::RequestParser reader;
  http::Request request;
  hints::ParsedCmcd hints;
  MediaPath path;
  std::string token;  // entitlement, as shown
  std::string trace;  // W3C trace context, passed on as it came
  std::optional<PlaybackId> playback;
  ConnectionId box = 0;  // the link its object comes by
  bool busy = false, waits = false, head_sent = false, chunked = false;
  bool close_after = false, half_closed = false, reading_held = false;
  bool retried = false;  // on another connection, after a kept one had died
  Duration asked_at{0};
  std::size_t unsent = 0;
  Bells::Handle stuck;
};

struct Manager::BoxLink {
  ConnectionId link = 0;
  ServerId server = 0;
  Use use = Use::idle;
  bool connected = false, kept = false;  // kept: it served another request before
  bool head_seen = false, keep_alive = true, held = false, held_since_measure = false;
  bool collects = false;    // a playlist: taken whole before anything of it is told
  bool off_ladder = false;  // audio and the like: no rung tells its rate
  std::string waiting;      // the request, until it is connected
  http::ResponseParser reader;
  std::optional<PlaybackId> playback;
  ConnectionId viewer = 0;
  Bells::Handle limit, connect;
  Duration asked_at{0}, head_at{0}, measured_at{0};
  int rung = 0, status = 0;
  double object_rate = 0;  // bytes a second that deliver it in its own duration
  std::uint64_t bytes = 0, measured_bytes = 0;
  std::string body;            // of a list
  std::string target, coding;  // of a playlist
  std::string cmsd;            // CMSD-Dynamic as the box said it, empty where malformed
};

// What a playback has beyond that when players read it by playlists.
struct Manager::HlsSide {
  HlsSide(const hls::RungPolicyOptions& terms, int floor) : showing(terms, floor) {}
  struct Reader {
    Duration seen{0};
    std::map<std::string, hls::Continuity> courses;  // by the place of the media playlist
  };
  hls::RungPolicy showing;
  std::string token;                 // shown last: a box lost needs no new one
  std::map<int, std::string> lists;  // by rung: where its media playlist is at a box
  std::map<int, bool> flat;
  hls::Variables variables;
  std::map<int, Reader> readers;
  int next_reader = 1;
  Duration target{0};
};

struct Manager::Playback {
  PlaybackId id = 0;
  std::string key;
  int plan = 0;
  std::string title;
  std::optional<catalogue::RecordingId> recording;
  TitleId title_id = 0;
  bool playing = false, tied_to_link = false;
  ServerId server = 0;
  int rung = 0;
  int tries = 0;
  Duration asked_at{0};
  std::vector<ConnectionId> askers;  // viewers' links that wait for the set-up
  ConnectionId try_link = 0;
  bool last_late = false;
  std::size_t objects_out = 0;
  Duration buffered{0};
  std::string sid;
  std::unique_ptr<HlsSide> hls;
  std::optional<Request> request;  // to be told to the module once it is entitled
  std::optional<entitlement::SeatKey> seat;
  std::string token;
  Bells::Handle abandon, silence;
};

// A connection of an operator, a tool or another front's feed.
struct Manager::Control {
  ConnectionId link = 0;
  http::RequestParser reader;
  bool busy = false, close_after = false;
  std::optional<catalogue::Revision> feed_after;  // waits for news behind it
  Bells::Handle wait;
};

}  // namespace violettide::manager
