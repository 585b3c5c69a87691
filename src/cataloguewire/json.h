// The catalogue's JSON: changes checked against docs/schemas/catalogue-changes.json, and back. Pure.
#pragma once

#include "catalogue/replica.h"

namespace violettide::cataloguewire {

struct BadJson {
  std::string place;  // `changes[3].put.renditions[0].rung`, or `byte 17`
  std::string cause;
};

std::variant<std::vector<catalogue::Change>, BadJson> read_changes(std::string_view text);
// One recording, as `put` takes it; for bulk loads, a line each.
std::variant<catalogue::Recording, BadJson> read_recording(std::string_view text);
// One that this front wrote itself and whose checksum holds: the schema is not asked again, only the form.
std::variant<catalogue::Recording, BadJson> read_own_recording(std::string_view text);
std::string text_of(const catalogue::Recording& recording);
std::string text_of(const std::vector<catalogue::Change>& changes);

// A feed's answer: batches that follow a revision, or the whole.
std::variant<catalogue::Fed, catalogue::FedWhole, BadJson> read_feed(std::string_view text);
std::string feed_text(
    catalogue::Revision from,
    const std::vector<std::pair<catalogue::Revision, const std::vector<catalogue::Change>*>>& batches);
std::string whole_text(const catalogue::Snapshot& snapshot);

}  // namespace violettide::cataloguewire
