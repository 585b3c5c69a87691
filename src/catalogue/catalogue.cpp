#include "catalogue/catalogue.h"

#include <algorithm>
#include <cmath>

namespace violettide::catalogue {

namespace {

constexpr std::size_t most_name = 256;
constexpr std::size_t most_renditions = 64;
constexpr std::size_t most_locations = 4096;
constexpr std::int64_t most_length_ms = 0xffffffff;

std::optional<std::string> name_fault(std::string_view name) {
  if (name.empty())
    return "expected some text";
  if (name.size() > most_name)
    return "longer than " + std::to_string(most_name) + " characters";
  if (name == "." || name == "..")
    return "a name that a path reads otherwise";
  for (const char c : name) {
    if (static_cast<unsigned char>(c) < 0x21 || c == '/' || c == 0x7f)
      return "a character that a path may not hold";
  }
  return std::nullopt;
}

std::string at(const char* list, std::size_t i, const char* field) {
  return std::string(list) + "[" + std::to_string(i) + "]." + field;
}

}  // namespace

std::uint32_t Names::id(std::string_view name) {
  if (const auto known = find(name))
    return *known;
  const auto [made, fresh] = ids_.emplace(std::string(name), static_cast<std::uint32_t>(names_.size()));
  names_.push_back(&made->first);
  return made->second;
}

std::optional<std::uint32_t> Names::find(std::string_view name) const {
  const auto found = ids_.find(name);
  if (found == ids_.end())
    return std::nullopt;
  return found->second;
}

std::optional<Duration> Entry::length() const {
  std::uint32_t longest = 0;
  for (const auto& form : forms)
    longest = std::max(longest, form.length_ms);
  if (longest == 0)
    return std::nullopt;
  return std::chrono::milliseconds(longest);
}

std::optional<int> Entry::rung_within(int least, int most) const {
  std::optional<int> best;
  for (const auto& form : forms) {
    if (form.rung >= least && form.rung <= most && (!best || form.rung > *best))
      best = form.rung;
  }
  return best;
}

std::optional<double> Entry::kb_per_s(int rung) const {
  for (const auto& form : forms) {
    if (form.rung == rung && form.kb_per_s > 0)
      return form.kb_per_s;
  }
  return std::nullopt;
}

// ---- the trie ----

EntryTrie::Leaf EntryTrie::leaf(RecordingId id) const {
  if (!root_ || (levels_ * bits < 32 && id >> (levels_ * bits) != 0))
    return nullptr;
  const Node* node = root_.get();
  for (unsigned level = levels_ - 1; level > 0; --level) {
    node = static_cast<const Node*>(node->below[(id >> (level * bits)) % width].get());
    if (!node)
      return nullptr;
  }
  return std::static_pointer_cast<const Entry>(node->below[id % width]);
}

const Entry* EntryTrie::find(RecordingId id) const {
  if (!root_ || (levels_ * bits < 32 && id >> (levels_ * bits) != 0))
    return nullptr;
  const Node* node = root_.get();
  for (unsigned level = levels_ - 1; level > 0; --level) {
    node = static_cast<const Node*>(node->below[(id >> (level * bits)) % width].get());
    if (!node)
      return nullptr;
  }
  return static_cast<const Entry*>(node->below[id % width].get());
}

EntryTrie::NodePtr EntryTrie::own(const std::shared_ptr<void>& node, std::uint64_t edit) {
  auto known = std::static_pointer_cast<Node>(node);
  if (known && known->edit == edit)
    return known;
  auto copy = known ? std::make_shared<Node>(*known) : std::make_shared<Node>();
  copy->edit = edit;
  return copy;
}

void EntryTrie::set(RecordingId id, Leaf entry, std::uint64_t edit) {
  while (levels_ * bits < 32 && id >> (levels_ * bits) != 0) {
    auto above = std::make_shared<Node>();
    above->edit = edit;
    if (root_)
      above->below[0] = root_;
    root_ = std::move(above);
    ++levels_;
  }
  root_ = own(root_, edit);
  Node* node = root_.get();
  for (unsigned level = levels_ - 1; level > 0; --level) {
    auto& below = node->below[(id >> (level * bits)) % width];
    auto owned = own(below, edit);
    node = owned.get();
    below = std::move(owned);
  }
  node->below[id % width] = std::const_pointer_cast<Entry>(std::move(entry));
}

void EntryTrie::visit(const Node& node, unsigned level, RecordingId first,
                      const std::function<void(RecordingId, const Entry&)>& visit_one) {
  for (unsigned i = 0; i < width; ++i) {
    if (!node.below[i])
      continue;
    const auto id = first | (i << (level * bits));
    if (level == 0)
      visit_one(id, *static_cast<const Entry*>(node.below[i].get()));
    else
      visit(*static_cast<const Node*>(node.below[i].get()), level - 1, id, visit_one);
  }
}

void EntryTrie::each(const std::function<void(RecordingId, const Entry&)>& visit_one) const {
  if (root_)
    visit(*root_, levels_ - 1, 0, visit_one);
}

// ---- the snapshot ----

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
  for (const auto& form : entry.forms) {
    recording.renditions.push_back({words_->name(form.name), form.rung, words_->name(form.codec),
                                    form.kb_per_s, std::chrono::milliseconds(form.length_ms)});
  }
  for (const auto& place : entry.places)
    recording.locations.push_back({boxes_->name(place.box), place.state, place.since_ms});
  return recording;
}

std::optional<Recording> Snapshot::recording(std::string_view title) const {
  const auto* entry = find(title);
  if (!entry)
    return std::nullopt;
  return recording_of(std::string(title), *entry);
}

void Snapshot::each(const std::function<void(const std::string&, const Entry&)>& visit) const {
  entries_.each([&](RecordingId id, const Entry& entry) { visit(titles_->name(id), entry); });
}

// ---- changes ----

Writer::Writer(BoxIndex boxes, int rungs)
    : box_index_(std::move(boxes)),
      rungs_(rungs),
      titles_(std::make_shared<Names>()),
      words_(std::make_shared<Names>()),
      boxes_(std::make_shared<Names>()) {
  present_ = empty(0);
}

SnapshotPtr Writer::empty(Revision revision) const {
  auto made = std::make_shared<Snapshot>();
  made->revision = revision;
  made->titles_ = titles_;
  made->words_ = words_;
  made->boxes_ = boxes_;
  return made;
}

void Writer::at_revision(Revision revision) {
  auto made = std::make_shared<Snapshot>(*present_);
  made->revision = revision;
  present_ = std::move(made);
}

std::optional<Bad> Writer::check(const Recording& recording) const {
  if (const auto fault = name_fault(recording.title))
    return Bad{0, "title", *fault};
  if (recording.renditions.size() > most_renditions)
    return Bad{0, "renditions", "more than " + std::to_string(most_renditions)};
  if (recording.locations.size() > most_locations)
    return Bad{0, "locations", "more than " + std::to_string(most_locations)};
  for (std::size_t i = 0; i < recording.renditions.size(); ++i) {
    const auto& one = recording.renditions[i];
    if (const auto fault = name_fault(one.name))
      return Bad{0, at("renditions", i, "name"), *fault};
    if (one.rung < 0 || one.rung >= rungs_)
      return Bad{0, at("renditions", i, "rung"), "the ladder has rungs 0 to " + std::to_string(rungs_ - 1)};
    if (!(one.kb_per_s >= 0) || one.kb_per_s > 1e9)
      return Bad{0, at("renditions", i, "kb_per_s"), "expected a rate"};
    const auto ms = one.length.count() / 1000;
    if (ms < 0 || ms > most_length_ms)
      return Bad{0, at("renditions", i, "length_ms"), "expected a length"};
    if (one.codec.size() > most_name)
      return Bad{0, at("renditions", i, "codec"), "longer than " + std::to_string(most_name) + " characters"};
    for (std::size_t j = 0; j < i; ++j) {
      if (recording.renditions[j].name == one.name)
        return Bad{0, at("renditions", i, "name"), "the same as renditions[" + std::to_string(j) + "].name"};
      if (recording.renditions[j].rung == one.rung)
        return Bad{0, at("renditions", i, "rung"), "the same as renditions[" + std::to_string(j) + "].rung"};
    }
  }
  std::vector<std::string_view> seen;
  for (std::size_t i = 0; i < recording.locations.size(); ++i) {
    const auto& one = recording.locations[i];
    if (const auto fault = name_fault(one.box))
      return Bad{0, at("locations", i, "box"), *fault};
    if (std::find(seen.begin(), seen.end(), one.box) != seen.end())
      return Bad{0, at("locations", i, "box"), "named twice"};
    if (!boxes_->find(one.box) && boxes_->size() > 0xffff)
      return Bad{0, at("locations", i, "box"), "more boxes than a catalogue can name"};
    seen.push_back(one.box);
  }
  return std::nullopt;
}

// One set for all recordings that lie alike: with boxes in groups there are few. Sets that nothing holds any
// more are swept when their number has doubled.
ServerSet Writer::shared_set(std::vector<ServerId> boxes) const {
  std::sort(boxes.begin(), boxes.end());
  auto& known = sets_[boxes];
  if (auto held = known.lock())
    return held;
  auto made = std::make_shared<const std::vector<ServerId>>(std::move(boxes));
  known = made;
  if (sets_.size() > sets_swept_at_) {
    std::erase_if(sets_, [](const auto& entry) { return entry.second.expired(); });
    sets_swept_at_ = std::max<std::size_t>(1024, 2 * sets_.size());
  }
  return made;
}

std::shared_ptr<Entry> Writer::packed(const Recording& recording) const {
  auto entry = std::make_shared<Entry>();
  entry->forms.reserve(recording.renditions.size());
  for (const auto& one : recording.renditions) {
    entry->forms.push_back({words_->id(one.name), words_->id(one.codec), static_cast<float>(one.kb_per_s),
                            static_cast<std::uint32_t>(one.length.count() / 1000),
                            static_cast<std::uint8_t>(one.rung)});
  }
  entry->places.reserve(recording.locations.size());
  std::vector<ServerId> holders;
  for (const auto& one : recording.locations) {
    entry->places.push_back({one.since_ms, static_cast<std::uint16_t>(boxes_->id(one.box)), one.state});
    if (one.state == LocationState::here)
      holders.push_back(box_index_(one.box));
  }
  entry->holders = shared_set(std::move(holders));
  return entry;
}

std::variant<Applied, Bad> Writer::apply(const std::vector<Change>& batch) const {
  auto next = std::make_shared<Snapshot>(*present_);
  Applied applied;
  const auto edit = ++edits_;
  // Recordings that the batch touches, as they stand within it.
  std::map<std::string, std::optional<Recording>> touched;
  const auto standing = [&](const std::string& title) -> std::optional<Recording>& {
    const auto [found, fresh] = touched.try_emplace(title);
    if (fresh)
      found->second = present_->recording(title);
    return found->second;
  };
  for (std::size_t i = 0; i < batch.size(); ++i) {
    const auto bad = [&](std::string field, std::string cause) {
      return Bad{i, std::move(field), std::move(cause)};
    };
    const std::string* title = nullptr;
    if (const auto* put = std::get_if<PutRecording>(&batch[i])) {
      standing(put->recording.title) = put->recording;
      title = &put->recording.title;
    } else if (const auto* remove = std::get_if<RemoveRecording>(&batch[i])) {
      auto& recording = standing(remove->title);
      if (!recording)
        return bad("title", "no recording '" + remove->title + "'");
      recording.reset();
    } else if (const auto* rendition = std::get_if<PutRendition>(&batch[i])) {
      auto& recording = standing(rendition->title);
      if (!recording)
        return bad("title", "no recording '" + rendition->title + "'");
      std::erase_if(recording->renditions, [&](auto& r) { return r.name == rendition->rendition.name; });
      recording->renditions.push_back(rendition->rendition);
      title = &rendition->title;
    } else if (const auto* gone = std::get_if<RemoveRendition>(&batch[i])) {
      auto& recording = standing(gone->title);
      if (!recording)
        return bad("title", "no recording '" + gone->title + "'");
      if (std::erase_if(recording->renditions, [&](auto& r) { return r.name == gone->name; }) == 0)
        return bad("name", "no rendition '" + gone->name + "' of '" + gone->title + "'");
    } else if (const auto* location = std::get_if<PutLocation>(&batch[i])) {
      auto& recording = standing(location->title);
      if (!recording)
        return bad("title", "no recording '" + location->title + "'");
      std::erase_if(recording->locations, [&](auto& l) { return l.box == location->location.box; });
      recording->locations.push_back(location->location);
      title = &location->title;
    } else if (const auto* away = std::get_if<RemoveLocation>(&batch[i])) {
      auto& recording = standing(away->title);
      if (!recording)
        return bad("title", "no recording '" + away->title + "'");
      if (std::erase_if(recording->locations, [&](auto& l) { return l.box == away->box; }) == 0)
        return bad("box", "'" + away->title + "' has no location '" + away->box + "'");
    }
    if (title) {
      if (auto fault = check(*standing(*title))) {
        fault->change = i;
        return *fault;
      }
    }
  }
  for (const auto& [title, recording] : touched) {
    const auto* before = present_->find(title);
    const auto count_before = before ? before->places.size() : 0;
    const auto count_now = recording ? recording->locations.size() : 0;
    if (!before && !recording)
      continue;
    const auto id = titles_->id(title);
    next->entries_.set(id, recording ? packed(*recording) : nullptr, edit);
    next->sums.recordings += (recording ? 1 : 0) - (before ? 1 : 0);
    next->sums.locations += count_now - count_before;
    applied.changed.push_back(id);
  }
  next->revision = present_->revision + 1;
  applied.snapshot = std::move(next);
  return applied;
}

}  // namespace violettide::catalogue
