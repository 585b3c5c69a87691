// Entries, the trie that snapshots share them in, and the checks and application of batches.
#include "catalogue/catalogue.h"

#include <algorithm>
#include <cmath>

namespace violettide::catalogue {

namespace {

// Limits of one recording.
constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_renditions = 64;
constexpr std::size_t max_locations = 4096;
constexpr std::int64_t max_length_ms = 0xffffffff;  // an Entry stores 32 bits

// Why a name can't be used as a path segment of the HTTP resource; absent: it can.
std::optional<std::string> name_error(std::string_view name) {
  if (name.empty())
    return "must not be empty";
  if (name.size() > max_name_bytes)
    return "longer than " + std::to_string(max_name_bytes) + " bytes";
  if (name == "." || name == "..")
    return "must not be '.' or '..'";
  for (const char c : name) {
    if (static_cast<unsigned char>(c) < 0x21 || c == '/' || c == 0x7f)
      return "contains a space, a slash or a control character";
  }
  return std::nullopt;
}

std::string field_path(const char* list, std::size_t i, const char* field) {
  return std::string(list) + "[" + std::to_string(i) + "]." + field;
}

}  // namespace

std::uint32_t NameTable::id(std::string_view name) {
  if (const auto known = find(name))
    return *known;
  const auto [entry, inserted] = ids_.emplace(std::string(name), static_cast<std::uint32_t>(names_.size()));
  names_.push_back(&entry->first);
  return entry->second;
}

std::optional<std::uint32_t> NameTable::find(std::string_view name) const {
  const auto found = ids_.find(name);
  if (found == ids_.end())
    return std::nullopt;
  return found->second;
}

std::optional<Duration> Entry::length() const {
  std::uint32_t longest = 0;
  for (const auto& rendition : renditions)
    longest = std::max(longest, rendition.length_ms);
  if (longest == 0)
    return std::nullopt;
  return std::chrono::milliseconds(longest);
}

std::optional<int> Entry::rung_within(int lowest, int highest) const {
  std::optional<int> best;
  for (const auto& rendition : renditions) {
    if (rendition.rung >= lowest && rendition.rung <= highest && (!best || rendition.rung > *best))
      best = rendition.rung;
  }
  return best;
}

std::optional<double> Entry::kb_per_s(int rung) const {
  for (const auto& rendition : renditions) {
    if (rendition.rung == rung && rendition.kb_per_s > 0)
      return rendition.kb_per_s;
  }
  return std::nullopt;
}

// ---- EntryTrie ----

EntryTrie::Leaf EntryTrie::leaf(RecordingId id) const {
  if (!root_ || (levels_ * bits_per_level < 32 && id >> (levels_ * bits_per_level) != 0))
    return nullptr;
  const Node* node = root_.get();
  for (unsigned level = levels_ - 1; level > 0; --level) {
    node = static_cast<const Node*>(node->children[(id >> (level * bits_per_level)) % fanout].get());
    if (!node)
      return nullptr;
  }
  return std::static_pointer_cast<const Entry>(node->children[id % fanout]);
}

const Entry* EntryTrie::find(RecordingId id) const {
  if (!root_ || (levels_ * bits_per_level < 32 && id >> (levels_ * bits_per_level) != 0))
    return nullptr;
  const Node* node = root_.get();
  for (unsigned level = levels_ - 1; level > 0; --level) {
    node = static_cast<const Node*>(node->children[(id >> (level * bits_per_level)) % fanout].get());
    if (!node)
      return nullptr;
  }
  return static_cast<const Entry*>(node->children[id % fanout].get());
}

// Returns the node itself if this batch made it, else a copy that may be changed.
EntryTrie::NodePtr EntryTrie::writable(const std::shared_ptr<void>& node, std::uint64_t batch_id) {
  auto known = std::static_pointer_cast<Node>(node);
  if (known && known->batch_id == batch_id)
    return known;
  auto copy = known ? std::make_shared<Node>(*known) : std::make_shared<Node>();
  copy->batch_id = batch_id;
  return copy;
}

void EntryTrie::set(RecordingId id, Leaf entry, std::uint64_t batch_id) {
  while (levels_ * bits_per_level < 32 && id >> (levels_ * bits_per_level) != 0) {
    auto parent = std::make_shared<Node>();
    parent->batch_id = batch_id;
    if (root_)
      parent->children[0] = root_;
    root_ = std::move(parent);
    ++levels_;
  }
  root_ = writable(root_, batch_id);
  Node* node = root_.get();
  for (unsigned level = levels_ - 1; level > 0; --level) {
    auto& child = node->children[(id >> (level * bits_per_level)) % fanout];
    auto writable_child = writable(child, batch_id);
    node = writable_child.get();
    child = std::move(writable_child);
  }
  node->children[id % fanout] = std::const_pointer_cast<Entry>(std::move(entry));
}

void EntryTrie::visit(const Node& node, unsigned level, RecordingId first,
                      const std::function<void(RecordingId, const Entry&)>& visit_one) {
  for (unsigned i = 0; i < fanout; ++i) {
    if (!node.children[i])
      continue;
    const auto id = first | (i << (level * bits_per_level));
    if (level == 0)
      visit_one(id, *static_cast<const Entry*>(node.children[i].get()));
    else
      visit(*static_cast<const Node*>(node.children[i].get()), level - 1, id, visit_one);
  }
}

void EntryTrie::for_each(const std::function<void(RecordingId, const Entry&)>& visit_one) const {
  if (root_)
    visit(*root_, levels_ - 1, 0, visit_one);
}

// ---- Snapshot ----

std::optional<RecordingId> Snapshot::id(std::string_view title) const {
  const auto known = titles_->find(title);
  if (!known || !entries_.find(*known))
    return std::nullopt;
  return known;
}

const Entry* Snapshot::find(std::string_view title) const {
  const auto known = titles_->find(title);
  return known ? entries_.find(*known) : nullptr;
}

Recording Snapshot::recording_of(const std::string& title, const Entry& entry) const {
  Recording recording{title, {}, {}};
  for (const auto& rendition : entry.renditions) {
    recording.renditions.push_back({strings_->name(rendition.name), rendition.rung,
                                    strings_->name(rendition.codec), rendition.kb_per_s,
                                    std::chrono::milliseconds(rendition.length_ms)});
  }
  for (const auto& location : entry.locations)
    recording.locations.push_back({box_names_->name(location.box), location.state, location.since_ms});
  return recording;
}

std::optional<Recording> Snapshot::recording(std::string_view title) const {
  const auto* entry = find(title);
  if (!entry)
    return std::nullopt;
  return recording_of(std::string(title), *entry);
}

void Snapshot::for_each(const std::function<void(const std::string&, const Entry&)>& visit) const {
  entries_.for_each([&](RecordingId id, const Entry& entry) { visit(titles_->name(id), entry); });
}

// ---- Writer ----

Writer::Writer(BoxIndex boxes, int rungs)
    : box_index_(std::move(boxes)),
      rungs_(rungs),
      titles_(std::make_shared<NameTable>()),
      strings_(std::make_shared<NameTable>()),
      box_names_(std::make_shared<NameTable>()) {
  current_ = empty_snapshot(0);
}

SnapshotPtr Writer::empty_snapshot(Revision revision) const {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->revision = revision;
  snapshot->titles_ = titles_;
  snapshot->strings_ = strings_;
  snapshot->box_names_ = box_names_;
  return snapshot;
}

void Writer::set_revision(Revision revision) {
  auto snapshot = std::make_shared<Snapshot>(*current_);
  snapshot->revision = revision;
  current_ = std::move(snapshot);
}

std::optional<InvalidChange> Writer::validate(const Recording& recording) const {
  if (const auto error = name_error(recording.title))
    return InvalidChange{0, "title", *error};
  if (recording.renditions.size() > max_renditions)
    return InvalidChange{0, "renditions", "more than " + std::to_string(max_renditions)};
  if (recording.locations.size() > max_locations)
    return InvalidChange{0, "locations", "more than " + std::to_string(max_locations)};
  for (std::size_t i = 0; i < recording.renditions.size(); ++i) {
    const auto& rendition = recording.renditions[i];
    if (const auto error = name_error(rendition.name))
      return InvalidChange{0, field_path("renditions", i, "name"), *error};
    if (rendition.rung < 0 || rendition.rung >= rungs_)
      return InvalidChange{0, field_path("renditions", i, "rung"),
                           "the ladder has rungs 0 to " + std::to_string(rungs_ - 1)};
    if (!(rendition.kb_per_s >= 0) || rendition.kb_per_s > 1e9)
      return InvalidChange{0, field_path("renditions", i, "kb_per_s"), "expected a rate from 0 to 1e9"};
    const auto ms = rendition.length.count() / 1000;
    if (ms < 0 || ms > max_length_ms)
      return InvalidChange{0, field_path("renditions", i, "length_ms"),
                           "expected a length from 0 to 4294967295"};
    if (rendition.codec.size() > max_name_bytes)
      return InvalidChange{0, field_path("renditions", i, "codec"),
                           "longer than " + std::to_string(max_name_bytes) + " bytes"};
    for (std::size_t j = 0; j < i; ++j) {
      if (recording.renditions[j].name == rendition.name)
        return InvalidChange{0, field_path("renditions", i, "name"),
                             "the same as renditions[" + std::to_string(j) + "].name"};
      if (recording.renditions[j].rung == rendition.rung)
        return InvalidChange{0, field_path("renditions", i, "rung"),
                             "the same as renditions[" + std::to_string(j) + "].rung"};
    }
  }
  std::vector<std::string_view> seen;
  for (std::size_t i = 0; i < recording.locations.size(); ++i) {
    const auto& location = recording.locations[i];
    if (const auto error = name_error(location.box))
      return InvalidChange{0, field_path("locations", i, "box"), *error};
    if (std::find(seen.begin(), seen.end(), location.box) != seen.end())
      return InvalidChange{0, field_path("locations", i, "box"), "the same box twice"};
    if (!box_names_->find(location.box) && box_names_->size() > 0xffff)
      return InvalidChange{0, field_path("locations", i, "box"), "too many different boxes in the catalogue"};
    seen.push_back(location.box);
  }
  return std::nullopt;
}

// Returns one vector for all recordings on the same boxes: few are needed where boxes hold the same titles in
// groups. Expired vectors are erased each time their number has doubled.
ServerSet Writer::intern_holders(std::vector<ServerId> boxes) const {
  std::sort(boxes.begin(), boxes.end());
  auto& slot = holder_sets_[boxes];
  if (auto existing = slot.lock())
    return existing;
  auto set = std::make_shared<const std::vector<ServerId>>(std::move(boxes));
  slot = set;
  if (holder_sets_.size() > sweep_threshold_) {
    std::erase_if(holder_sets_, [](const auto& entry) { return entry.second.expired(); });
    sweep_threshold_ = std::max<std::size_t>(1024, 2 * holder_sets_.size());
  }
  return set;
}

std::shared_ptr<Entry> Writer::pack(const Recording& recording) const {
  auto entry = std::make_shared<Entry>();
  entry->renditions.reserve(recording.renditions.size());
  for (const auto& rendition : recording.renditions) {
    entry->renditions.push_back({strings_->id(rendition.name), strings_->id(rendition.codec),
                                 static_cast<float>(rendition.kb_per_s),
                                 static_cast<std::uint32_t>(rendition.length.count() / 1000),
                                 static_cast<std::uint8_t>(rendition.rung)});
  }
  entry->locations.reserve(recording.locations.size());
  std::vector<ServerId> holders;
  for (const auto& location : recording.locations) {
    entry->locations.push_back(
        {location.since_ms, static_cast<std::uint16_t>(box_names_->id(location.box)), location.state});
    if (location.state == LocationState::here)
      holders.push_back(box_index_(location.box));
  }
  entry->holders = intern_holders(std::move(holders));
  return entry;
}

std::variant<AppliedBatch, InvalidChange> Writer::apply(const std::vector<Change>& batch) const {
  auto next = std::make_shared<Snapshot>(*current_);
  AppliedBatch applied;
  const auto batch_id = ++last_batch_id_;
  // The recordings that the batch changes, as its changes so far leave them; absent: removed.
  std::map<std::string, std::optional<Recording>> touched;
  const auto working_copy = [&](const std::string& title) -> std::optional<Recording>& {
    const auto [found, fresh] = touched.try_emplace(title);
    if (fresh)
      found->second = current_->recording(title);
    return found->second;
  };
  for (std::size_t i = 0; i < batch.size(); ++i) {
    const auto invalid = [&](std::string field, std::string cause) {
      return InvalidChange{i, std::move(field), std::move(cause)};
    };
    const std::string* title = nullptr;
    if (const auto* put = std::get_if<PutRecording>(&batch[i])) {
      working_copy(put->recording.title) = put->recording;
      title = &put->recording.title;
    } else if (const auto* remove = std::get_if<RemoveRecording>(&batch[i])) {
      auto& recording = working_copy(remove->title);
      if (!recording)
        return invalid("title", "no recording '" + remove->title + "'");
      recording.reset();
    } else if (const auto* put_rendition = std::get_if<PutRendition>(&batch[i])) {
      auto& recording = working_copy(put_rendition->title);
      if (!recording)
        return invalid("title", "no recording '" + put_rendition->title + "'");
      std::erase_if(recording->renditions, [&](auto& r) { return r.name == put_rendition->rendition.name; });
      recording->renditions.push_back(put_rendition->rendition);
      title = &put_rendition->title;
    } else if (const auto* remove_rendition = std::get_if<RemoveRendition>(&batch[i])) {
      auto& recording = working_copy(remove_rendition->title);
      if (!recording)
        return invalid("title", "no recording '" + remove_rendition->title + "'");
      if (std::erase_if(recording->renditions, [&](auto& r) { return r.name == remove_rendition->name; }) ==
          0)
        return invalid("name",
                       "no rendition '" + remove_rendition->name + "' of '" + remove_rendition->title + "'");
    } else if (const auto* put_location = std::get_if<PutLocation>(&batch[i])) {
      auto& recording = working_copy(put_location->title);
      if (!recording)
        return invalid("title", "no recording '" + put_location->title + "'");
      std::erase_if(recording->locations, [&](auto& l) { return l.box == put_location->location.box; });
      recording->locations.push_back(put_location->location);
      title = &put_location->title;
    } else if (const auto* remove_location = std::get_if<RemoveLocation>(&batch[i])) {
      auto& recording = working_copy(remove_location->title);
      if (!recording)
        return invalid("title", "no recording '" + remove_location->title + "'");
      if (std::erase_if(recording->locations, [&](auto& l) { return l.box == remove_location->box; }) == 0)
        return invalid("box",
                       "'" + remove_location->title + "' has no location '" + remove_location->box + "'");
    }
    if (title) {
      if (auto error = validate(*working_copy(*title))) {
        error->change = i;
        return *error;
      }
    }
  }
  for (const auto& [title, recording] : touched) {
    const auto* before = current_->find(title);
    const auto count_before = before ? before->locations.size() : 0;
    const auto count_now = recording ? recording->locations.size() : 0;
    if (!before && !recording)
      continue;
    const auto id = titles_->id(title);
    next->entries_.set(id, recording ? pack(*recording) : nullptr, batch_id);
    next->totals.recordings += (recording ? 1 : 0) - (before ? 1 : 0);
    next->totals.locations += count_now - count_before;
    applied.changed.push_back(id);
  }
  next->revision = current_->revision + 1;
  applied.snapshot = std::move(next);
  return applied;
}

}  // namespace violettide::catalogue
