// The adapter: turns the bench's wire into the module's events and its orders back into lines.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "benchlink/wire.h"
#include "policy/policy.h"

namespace violettide::benchlink {

// One hosted session manager: its brain and the ids it was given at the door.
class Instance {
 public:
  Instance(std::int64_t clock, std::uint64_t seed, const FlatSettings& settings);

  Duration since_start(std::int64_t clock) const { return Duration(clock - start_); }
  std::int64_t start() const { return start_; }
  ServerId server(std::string_view wire_id);
  TitleId title(std::string_view wire_id);
  PlaybackId admit(std::string_view wire_id, int tries_out);
  std::optional<PlaybackId> known(std::string_view wire_id) const;
  void end(PlaybackId playback);
  void try_ended(PlaybackId playback);
  void feed(int number, Duration now, const Event& event, std::string& reply);

 private:
  struct Door {
    std::string wire_id;
    bool open = true;
    int tries_out = 0;
  };
  std::string encode(int number, const Command& command);
  void forget_if_done(PlaybackId playback);

  std::int64_t start_;
  Policy policy_;
  PlaybackId next_ = 0;
  std::unordered_map<std::string, PlaybackId> playbacks_;
  std::unordered_map<PlaybackId, Door> doors_;
  std::unordered_map<std::string, ServerId> servers_;
  std::vector<std::string> server_names_;
  std::unordered_map<std::string, TitleId> titles_;
};

// Plays batches for many instances that share nothing.
class Link {
 public:
  // Takes one line; returns the whole reply once a batch is complete.
  std::optional<std::string> take(std::string_view line);
  bool inside_batch() const { return in_batch_; }

 private:
  struct Entry {
    std::string wire_id;
    ServerEntry entry;
    std::optional<std::int64_t> started_clock;
  };
  void event(std::string_view line);
  void add_entry(Fields& fields);
  void announce(int number, Instance& instance, Fields& fields);
  std::optional<Event> decode(Instance& instance, Fields& fields);
  Request request(Instance& instance, Fields& fields, int tries_out);

  bool in_batch_ = false;
  std::int64_t clock_ = 0;
  std::string reply_;
  std::array<std::vector<Entry>, 16> pages_;
  std::size_t page_ = 0;
  std::int64_t entries_due_ = 0;
  std::map<int, Instance> instances_;
};

}  // namespace violettide::benchlink
