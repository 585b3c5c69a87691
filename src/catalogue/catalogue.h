// The catalogue of recordings: which renditions of each exist, and on which boxes. Batches of changes go in,
// immutable snapshots come out, each with a revision. A snapshot shares every entry that a batch left alone
// with its predecessor, so holding one is cheap, and a change never alters data that a decision is reading.
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

// Number of the batch that made a snapshot; the empty catalogue has revision 0.
using Revision = std::uint64_t;
using RecordingId = std::uint32_t;

// A rendition as operators describe it.
struct Rendition {
  std::string name;
  int rung = 0;
  std::string codec;
  double kb_per_s = 0;  // actual media rate; 0: unknown
  Duration length{0};   // 0: unknown
  bool operator==(const Rendition&) const = default;
};
enum class LocationState { here, leaving };  // leaving: no new playbacks; running ones continue
// A copy of a recording on a box.
struct Location {
  std::string box;
  LocationState state = LocationState::here;
  std::int64_t since_ms = 0;  // on the operators' clock
  bool operator==(const Location&) const = default;
};
// A recording as operators describe it.
struct Recording {
  std::string title;
  std::vector<Rendition> renditions;
  std::vector<Location> locations;
  bool operator==(const Recording&) const = default;
};

// Creates a recording, or replaces it completely.
struct PutRecording {
  Recording recording;
};
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

// Why a batch was rejected. No change of a rejected batch is applied.
struct InvalidChange {
  std::size_t change = 0;  // index in the batch
  std::string field;       // path within the change, such as `renditions[2].rung`
  std::string cause;
};

// Maps strings to small integer ids. Ids are never reused: an id means the same string in every snapshot.
class NameTable {
 public:
  // The id of a name, which is added if it is new.
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
  std::vector<const std::string*> names_;  // the keys of ids_, by id
};

using ServerSet = std::shared_ptr<const std::vector<ServerId>>;

// The compact form of a recording that decisions read.
struct Entry {
  struct PackedLocation {
    std::int64_t since_ms;
    std::uint16_t box;  // id in the table of box names
    LocationState state;
  };
  struct PackedRendition {
    std::uint32_t name, codec;  // ids in the table of strings
    float kb_per_s;
    std::uint32_t length_ms;
    std::uint8_t rung;
  };
  // Boxes that may start a new playback of it, as ServerIds in rising order. Recordings on the same boxes
  // share one vector.
  ServerSet holders;
  std::vector<PackedLocation> locations;
  std::vector<PackedRendition> renditions;

  // Length of the longest rendition; absent if none states one.
  std::optional<Duration> length() const;
  // The highest rung from `lowest` to `highest` that exists; absent if there is none.
  std::optional<int> rung_within(int lowest, int highest) const;
  // Media rate of a rung; absent if it is unknown.
  std::optional<double> kb_per_s(int rung) const;
};

// A persistent (copy-on-write) vector of entries: a radix trie with 32 children a node. A change copies only
// the path from the root to the entry; copies of the trie share all other nodes.
class EntryTrie {
 public:
  using Leaf = std::shared_ptr<const Entry>;
  const Entry* find(RecordingId id) const;
  Leaf leaf(RecordingId id) const;
  // Nodes made under the same `batch_id` belong to no published snapshot yet and are changed in place.
  void set(RecordingId id, Leaf entry, std::uint64_t batch_id);
  // Visits all entries in the order of their ids.
  void for_each(const std::function<void(RecordingId, const Entry&)>& visit) const;

 private:
  static constexpr unsigned bits_per_level = 5, fanout = 1u << bits_per_level;
  struct Node {
    std::uint64_t batch_id = 0;                          // the batch that made this node
    std::array<std::shared_ptr<void>, fanout> children;  // nodes; on the lowest level entries
  };
  using NodePtr = std::shared_ptr<Node>;
  static NodePtr writable(const std::shared_ptr<void>& node, std::uint64_t batch_id);
  static void visit(const Node& node, unsigned level, RecordingId first,
                    const std::function<void(RecordingId, const Entry&)>& visit);
  NodePtr root_;
  unsigned levels_ = 1;
};

struct Totals {
  std::size_t recordings = 0, locations = 0;
};

// The catalogue at one revision. Immutable once published.
class Snapshot {
 public:
  Revision revision = 0;
  Totals totals;
  const Entry* find(std::string_view title) const;
  const Entry* find(RecordingId id) const { return entries_.find(id); }
  // An entry that outlives the snapshot; null if there is none.
  std::shared_ptr<const Entry> share(RecordingId id) const { return entries_.leaf(id); }
  std::optional<RecordingId> id(std::string_view title) const;
  // A recording in its operators' form; absent if the title is unknown.
  std::optional<Recording> recording(std::string_view title) const;
  void for_each(const std::function<void(const std::string& title, const Entry&)>& visit) const;
  const std::string& title(RecordingId id) const { return titles_->name(id); }
  // Converts an entry of this snapshot back to its operators' form.
  Recording recording_of(const std::string& title, const Entry& entry) const;

 private:
  friend class Writer;
  std::shared_ptr<NameTable> titles_, strings_, box_names_;
  EntryTrie entries_;
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

// Returns the ServerId of a box name, always the same one for the same name.
using BoxIndex = std::function<ServerId(std::string_view)>;

// The result of applying a batch, not yet published.
struct AppliedBatch {
  SnapshotPtr snapshot;
  std::vector<RecordingId> changed;  // each recording once, in the order of titles
};

// Makes new snapshots by applying batches to the current one.
class Writer {
 public:
  // `rungs`: number of rungs of the ladder. Over 65,536 box names are rejected as invalid changes.
  Writer(BoxIndex boxes, int rungs);
  const SnapshotPtr& current() const { return current_; }
  // Applies the whole batch or nothing of it. The result becomes current only by commit(), so that the caller
  // can make the batch durable in between.
  std::variant<AppliedBatch, InvalidChange> apply(const std::vector<Change>& batch) const;
  void commit(AppliedBatch applied) { current_ = std::move(applied.snapshot); }
  // Starts over with an empty catalogue, before a full snapshot is loaded.
  void reset(Revision revision) { current_ = empty_snapshot(revision); }
  // Changes the revision of the current snapshot and nothing else.
  void set_revision(Revision revision);

 private:
  SnapshotPtr empty_snapshot(Revision revision) const;
  std::optional<InvalidChange> validate(const Recording& recording) const;
  std::shared_ptr<Entry> pack(const Recording& recording) const;
  ServerSet intern_holders(std::vector<ServerId> boxes) const;

  BoxIndex box_index_;
  int rungs_;
  std::shared_ptr<NameTable> titles_, strings_, box_names_;
  mutable std::map<std::vector<ServerId>, std::weak_ptr<const std::vector<ServerId>>> holder_sets_;
  mutable std::size_t sweep_threshold_ = 1024;  // expired sets are erased above this number
  mutable std::uint64_t last_batch_id_ = 0;
  SnapshotPtr current_;
};

}  // namespace violettide::catalogue
