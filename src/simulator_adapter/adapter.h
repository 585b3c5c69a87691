// Translates the simulator's line protocol: its messages become the policy's events, and the policy's
// commands become lines of the reply.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/policy.h"
#include "simulator_adapter/line_reader.h"

namespace violettide::simulator_adapter {

// One session manager of the simulation: its policy, and the policy's ids for the names that the simulator
// uses. The simulator's clock is in microseconds.
class SessionManager {
 public:
  // Throws SettingError for malformed settings.
  SessionManager(std::int64_t clock, std::uint64_t seed, const FlatSettings& settings);

  // Converts a reading of the simulator's clock to the policy's time, which starts with this manager.
  Duration since_start(std::int64_t clock) const { return Duration(clock - start_); }
  std::int64_t start() const { return start_; }
  // Returns the id of a server or a title; a name that is new gets the next id.
  ServerId server_id(std::string_view wire_id);
  TitleId title_id(std::string_view wire_id);
  // Assigns an id to a playback of which `running_tries` are under way.
  PlaybackId add_playback(std::string_view wire_id, int running_tries);
  // Returns nothing for a playback that was never added or is forgotten.
  std::optional<PlaybackId> find_playback(std::string_view wire_id) const;
  // Notes that the playback's request was answered or cancelled, or that the playback is over. It is
  // forgotten once no try is under way, since the end of a try still needs its id.
  void close_playback(PlaybackId playback);
  // Notes that a try of the playback ended.
  void count_ended_try(PlaybackId playback);
  // Passes an event to the policy and appends its commands to `reply`, or a DIE line with the error if the
  // policy throws. `number` is this manager's number on the wire.
  void handle_event(int number, Duration now, const Event& event, std::string& reply);

 private:
  struct Playback {
    std::string wire_id;
    bool is_open = true;
    int running_tries = 0;
  };
  // Formats a command as a line of the reply, and keeps the playback's state up to date.
  std::string encode(int number, const Command& command);
  void forget_if_done(PlaybackId playback);

  std::int64_t start_;
  Policy policy_;
  PlaybackId next_playback_ = 0;
  std::unordered_map<std::string, PlaybackId> playback_ids_;
  std::unordered_map<PlaybackId, Playback> playbacks_;
  std::unordered_map<std::string, ServerId> server_ids_;
  std::vector<std::string> server_wire_ids_;
  std::unordered_map<std::string, TitleId> title_ids_;
};

// Handles batches of messages for many session managers, which share no state but the server lists sent.
class Adapter {
 public:
  // Handles one line, without its line end. Returns the whole reply if the line completes a batch. Throws
  // ProtocolError for a malformed line.
  std::optional<std::string> handle_line(std::string_view line);
  bool in_batch() const { return in_batch_; }

 private:
  // One server of a list. Its id differs between managers and is looked up when the list is announced to one.
  struct ListItem {
    std::string wire_id;
    ServerEntry entry;
    std::optional<std::int64_t> started_clock;
  };
  void handle_message(std::string_view line);
  void read_list_item(LineReader& reader);
  void handle_announce(int number, SessionManager& manager, LineReader& reader);
  // Returns nothing for a message that is well-formed but concerns no known playback or nothing in the
  // policy.
  std::optional<Event> read_event(SessionManager& manager, LineReader& reader);
  Request read_request(SessionManager& manager, LineReader& reader, int running_tries);

  bool in_batch_ = false;
  std::int64_t clock_ = 0;  // of the current batch
  std::string reply_;
  std::array<std::vector<ListItem>, 16> lists_;  // kept over batches: an ANNOUNCE refers to one by number
  std::size_t current_list_ = 0;                 // the list that the last TABLE began
  std::int64_t items_due_ = 0;                   // ITEMs that the current list still lacks
  std::map<int, SessionManager> managers_;
};

}  // namespace violettide::simulator_adapter
