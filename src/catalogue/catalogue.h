// The catalogue of recordings: what exists in which renditions and on which boxes. Changes go in, an
// immutable snapshot with a revision comes out. A snapshot shares all that a change left alone with the one
// before it, so that holding one costs nothing and a change never moves under a decision.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "policy/policy.h"

namespace violettide::catalogue {

using Revision = std::uint64_t;
using RecordingId = std::uint32_t;

// As operators say it.
struct Rendition {
  std::string name;
  int rung = 0;
  std::string codec;
  double kb_per_s = 0;  // its true rate
  Duration length{0};
  bool operator==(const Rendition&) const = default;
};
enum class LocationState { here, leaving };  // leaving: takes nothing new, what plays goes on
struct Location {
  std::string box;
  LocationState state = LocationState::here;
  std::int64_t since_ms = 0;  // of the operators' clock
  bool operator==(const Location&) const = default;
};
struct Recording {
  std::string title;
  std::vector<Rendition> renditions;
  std::vector<Location> locations;
  bool operator==(const Recording&) const = default;
};

struct PutRecording {
  Recording recording;
};  // whole, in place of what was
struct RemoveRecording {
  std::string title;
};
struct PutRendition {
  std::string title;
  Rendition rendition;
};
struct RemoveRendition {
  std::string title, name;
};
struct PutLocation {
  std::string title;
  Location location;
};
struct RemoveLocation {
  std::string title, box;
};
using Change =
    std::variant<PutRecording, RemoveRecording, PutRendition, RemoveRendition, PutLocation, RemoveLocation>;

// Why a batch was not taken: nothing of it was.
struct Bad {
  std::size_t change = 0;  // which of the batch
  std::string field;       // `renditions[2].rung`
  std::string cause;
};

// Names as small numbers, for good: an id once given means the same name in every snapshot.
class Names {
 public:
  std::uint32_t id(std::string_view name);
  std::optional<std::uint32_t> find(std::string_view name) const;
  const std::string& name(std::uint32_t id) const { return *names_.at(id); }
  std::size_t size() const { return names_.size(); }

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const { return std::hash<std::string_view>{}(name); }
  };
  std::unordered_map<std::string, std::uint32_t, Hash, std::equal_to<>> ids_;
  std::vector<const std::string*> names_;
};

using ServerSet = std::shared_ptr<const std::vector<ServerId>>;

// A recording as decisions read it. Boxes are the caller's indices.
struct Entry {
  struct Place {
    std::int64_t since_ms;
    std::uint16_t box;
    LocationState state;
  };
  struct Form {
    std::uint32_t name, codec;
    float kb_per_s;
    std::uint32_t length_ms;
    std::uint8_t rung;
  };
  ServerSet holders;  // sorted: the boxes that may take a new playback of it; one set for all that lie alike
  std::vector<Place> places;
  std::vector<Form> forms;

  std::optional<Duration> length() const;
  // The highest rung that exists, `most` at most and `least` at least; absent if there is none between.
  std::optional<int> rung_within(int least, int most) const;
  std::optional<double> kb_per_s(int rung) const;
};

// A vector whose copies share what they have in common: 32 children a node, a change copies one path.
class EntryTrie {
 public:
  using Leaf = std::shared_ptr<const Entry>;
  const Entry* find(RecordingId id) const;
  Leaf leaf(RecordingId id) const;
  // `edit` marks nodes that were made in the same batch: they may be changed in place.
  void set(RecordingId id, Leaf entry, std::uint64_t edit);
  void each(const std::function<void(RecordingId, const Entry&)>& visit) const;

 private:
  static constexpr unsigned bits = 5, width = 1u << bits;
  struct Node {
    std::uint64_t edit = 0;
    std::array<std::shared_ptr<void>, width> below;  // nodes, or entries at the bottom
  };
  using NodePtr = std::shared_ptr<Node>;
  static NodePtr own(const std::shared_ptr<void>& node, std::uint64_t edit);
  static void visit(const Node& node, unsigned level, RecordingId first,
                    const std::function<void(RecordingId, const Entry&)>& visit);
  NodePtr root_;
  unsigned levels_ = 1;
};

struct Sums {
  std::size_t recordings = 0, locations = 0;
};

class Snapshot {
 public:
  Revision revision = 0;
  Sums sums;
  const Entry* find(std::string_view title) const;
  const Entry* find(RecordingId id) const { return entries_.find(id); }
  std::shared_ptr<const Entry> hold(RecordingId id) const { return entries_.leaf(id); }
  std::optional<RecordingId> id(std::string_view title) const;
  std::optional<Recording> recording(std::string_view title) const;  // in operators' words
  void each(const std::function<void(const std::string& title, const Entry&)>& visit) const;
  const std::string& title(RecordingId id) const { return titles_->name(id); }
  Recording recording_of(const std::string& title, const Entry& entry) const;

 private:
  friend class Writer;
  std::shared_ptr<Names> titles_, words_, boxes_;
  EntryTrie entries_;
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

// Gives a box's index at the door; the same name, the same index.
using BoxIndex = std::function<ServerId(std::string_view)>;

// What a batch did, besides the snapshot.
struct Applied {
  SnapshotPtr snapshot;
  std::vector<RecordingId> changed;  // each once, in order
};

class Writer {
 public:
  // `boxes`: more than 65,535 are refused as bad changes.
  Writer(BoxIndex boxes, int rungs);
  const SnapshotPtr& present() const { return present_; }
  // The whole batch or nothing. Does not make it present: commit() does, once it is kept.
  std::variant<Applied, Bad> apply(const std::vector<Change>& batch) const;
  void commit(Applied applied) { present_ = std::move(applied.snapshot); }
  // In place of everything: a snapshot that came whole.
  void reset(Revision revision) { present_ = empty(revision); }
  void at_revision(Revision revision);

 private:
  SnapshotPtr empty(Revision revision) const;
  std::optional<Bad> check(const Recording& recording) const;
  std::shared_ptr<Entry> packed(const Recording& recording) const;
  ServerSet shared_set(std::vector<ServerId> boxes) const;

  BoxIndex box_index_;
  int rungs_;
  std::shared_ptr<Names> titles_, words_, boxes_;
  mutable std::map<std::vector<ServerId>, std::weak_ptr<const std::vector<ServerId>>> sets_;
  mutable std::size_t sets_swept_at_ = 1024;
  mutable std::uint64_t edits_ = 0;
  SnapshotPtr present_;
};

}  // namespace violettide::catalogue
