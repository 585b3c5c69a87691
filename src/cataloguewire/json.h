// JSON encoding of the catalogue: batches of changes, recordings, and the feed. Input from outside is checked
// against docs/schemas/catalogue-changes.json. Free of I/O.
#pragma once

#include "catalogue/replica.h"

namespace violettide::cataloguewire {

struct JsonError {
  std::string place;  // `changes[3].put.renditions[0].rung`, or `byte 17`
  std::string cause;
};

// A batch, as POST /catalogue/changes takes it and as the log stores it.
std::variant<std::vector<catalogue::Change>, JsonError> read_changes(std::string_view text);
// One recording, as `put` takes it; bulk loads have one a line.
std::variant<catalogue::Recording, JsonError> read_recording(std::string_view text);
// A recording from a snapshot file whose checksum holds: parsed without the schema check.
std::variant<catalogue::Recording, JsonError> read_stored_recording(std::string_view text);
std::string json_text(const catalogue::Recording& recording);
std::string json_text(const std::vector<catalogue::Change>& changes);

// The reply of a feed: batches that follow a revision, or a full snapshot.
std::variant<catalogue::FeedBatches, catalogue::FeedSnapshot, JsonError> read_feed(std::string_view text);
std::string feed_json(
    catalogue::Revision first_revision,
    const std::vector<std::pair<catalogue::Revision, const std::vector<catalogue::Change>*>>& batches);
std::string snapshot_json(const catalogue::Snapshot& snapshot);

}  // namespace violettide::cataloguewire
