#include <algorithm>
#include <cstdio>

#include "hls/writer.h"

namespace violettide::hls {

namespace {

constexpr std::uint64_t delta_version = 9;  // the least that EXT-X-SKIP takes

// Copies a stretch of a playlist, other addresses put in.
class Copier {
 public:
  Copier(std::string& into, const WriteTerms& terms) : into_(into), terms_(terms) {}

  void copy(const Piece& piece, Range range, bool moved) {
    const auto& media = *piece.from;
    auto at = range.from;
    // Moved: every URI of the stretch; else those that are no plain names.
    const auto put = [&](const UriAt& uri) {
      if (uri.at.from < at || uri.at.to > range.to)
        return;
      const auto text = uri.at.of(media.text);
      auto address = terms_.address ? terms_.address(piece, text, uri.of) : Address{};
      if (auto* none = std::get_if<NoAddress>(&address)) {
        if (!fault)
          fault = fault_at(media.text, uri.at.from, none->cause);
        return;
      }
      into_.append(media.text, at, uri.at.from - at);
      if (auto* other = std::get_if<std::string>(&address))
        into_.append(*other);
      else
        into_.append(text);
      at = uri.at.to;
    };
    if (!moved) {
      for (auto it = first_in(media.uris, range); it != media.uris.end() && it->at.from < range.to; ++it)
        put(*it);
    } else {
      auto attribute = first_in(media.attribute_uris, range);
      auto segment = std::lower_bound(media.segments.begin(), media.segments.end(), range.from,
                                      [](const Segment& s, std::uint32_t from) { return s.uri.from < from; });
      for (;;) {
        const bool more_attributes = attribute != media.attribute_uris.end() && attribute->at.from < range.to;
        const bool more_segments = segment != media.segments.end() && segment->uri.from < range.to;
        if (more_attributes && (!more_segments || attribute->at.from < segment->uri.from))
          put(*attribute++);
        else if (more_segments)
          put({(segment++)->uri, Tag::inf});
        else
          break;
      }
    }
    into_.append(media.text, at, range.to - at);
  }

  // A line that stood elsewhere: its URI, if it has one, is looked up as any other's.
  void line(const Piece& piece, std::string_view text, bool moved) {
    const auto colon = text.find(':');
    Attributes attributes;
    const Attribute* uri = nullptr;
    if (colon != std::string_view::npos && !read_attributes(text.substr(colon + 1), attributes))
      uri = attributes.find("URI");
    if (uri && (moved || !plain_name(uri->value)) && terms_.address) {
      const auto tag = text.starts_with("#EXT-X-MAP") ? Tag::map : Tag::key;
      const auto address = terms_.address(piece, uri->value, tag);
      if (const auto* none = std::get_if<NoAddress>(&address)) {
        if (!fault)
          fault = Fault{0, none->cause};
      } else if (const auto* other = std::get_if<std::string>(&address)) {
        const auto from = static_cast<std::size_t>(uri->value.data() - text.data());
        into_.append(text.substr(0, from)).append(*other).append(text.substr(from + uri->value.size()));
        into_ += '\n';
        return;
      }
    }
    into_.append(text) += '\n';
  }

  std::optional<Fault> fault;

 private:
  static std::vector<UriAt>::const_iterator first_in(const std::vector<UriAt>& uris, Range range) {
    return std::lower_bound(uris.begin(), uris.end(), range.from,
                            [](const UriAt& uri, std::uint32_t from) { return uri.at.from < from; });
  }

  std::string& into_;
  const WriteTerms& terms_;
};

std::string_view tag_name(std::string_view line) {
  while (!line.empty() && (line.back() == '\n' || line.back() == '\r'))
    line.remove_suffix(1);
  return line.substr(0, line.find(':'));
}

template <typename Each>
void each_line(std::string_view text, Range range, const Each& each) {
  for (auto from = range.from; from < range.to;) {
    const auto end = text.find('\n', from);
    const auto to =
        end == std::string_view::npos || end + 1 > range.to ? range.to : static_cast<std::uint32_t>(end + 1);
    each(Range{from, to});
    from = to;
  }
}

// A key whose initialization vector is the segment's number, for a segment that is numbered otherwise now.
std::string key_with_vector(std::string_view key, std::uint64_t sequence) {
  if (key.find("METHOD=AES-128") == std::string_view::npos || key.find("IV=") != std::string_view::npos)
    return std::string(key);
  char vector[48];
  std::snprintf(vector, sizeof vector, ",IV=0x%032llx", static_cast<unsigned long long>(sequence));
  return std::string(key) + vector;
}

class WindowWriter {
 public:
  WindowWriter(const Window& window, const WriteTerms& terms)
      : window_(window), terms_(terms), copier_(made_, terms) {}

  std::variant<std::string, Fault> write() {
    const auto& last = window_.pieces.back();
    const auto& newest = *last.from;
    const bool all_there = last.first + last.count == newest.segments.size();
    made_.reserve(newest.text.size() + 256);
    const auto skipped = terms_.delta ? may_skip() : 0;
    head(last, skipped);
    std::uint64_t sequence = window_.media_sequence;
    std::size_t at = 0;
    const InForce* state = nullptr;
    for (const auto& piece : window_.pieces) {
      const bool moved = terms_.moved && terms_.moved(piece);
      const bool renumbered = piece.sequence(0) != sequence;
      for (std::uint32_t i = 0; i < piece.count; ++i, ++sequence, ++at) {
        if (at < skipped)
          continue;
        const auto& segment = piece.at(i);
        const auto& before = piece.from->states[segment.before];
        const auto& with = piece.from->states[segment.state];
        const bool own_keys = renumbered && with.implicit_iv;
        // Behind a skip the viewer still has what was in force there.
        if (skipped > 0 && at == skipped)
          state = &before;
        if (i == 0 && piece.breaks && !segment.discontinuity)
          made_ += "#EXT-X-DISCONTINUITY\n";
        if (i == 0 && (!state || !(*state == before)))
          repeat(piece, state, before, moved);
        if (own_keys)
          numbered(piece, i, with, moved);
        else
          segment_lines(piece, segment, moved);
        state = &with;
      }
    }
    if (all_there)
      tail(last);
    else if (window_.ended)
      made_ += "#EXT-X-ENDLIST\n";
    if (copier_.fault)
      return *copier_.fault;
    return std::move(made_);
  }

 private:
  // What is further from the end than the skip boundary (draft, 4.4.5.2), if that is worth a line.
  std::size_t may_skip() const {
    const auto& newest = *window_.pieces.back().from;
    if (!newest.skip_until || newest.ended)
      return 0;
    Duration behind{0};
    std::size_t kept = 0;
    for (auto piece = window_.pieces.rbegin(); piece != window_.pieces.rend(); ++piece) {
      for (auto i = piece->count; i > 0; --i) {
        behind += piece->at(i - 1).duration;
        ++kept;
        if (behind >= *newest.skip_until)
          return window_.size() - kept;
      }
    }
    return 0;
  }

  void head(const Piece& last, std::size_t skipped) {
    const auto& media = *last.from;
    bool wrote_sequence = false, wrote_breaks = false, wrote_version = false;
    const auto each = [&](Range range) {
      const auto line = range.of(media.text);
      const auto name = tag_name(line);
      if (name == "#EXT-X-ENDLIST")
        return;
      if (name == "#EXT-X-MEDIA-SEQUENCE") {
        made_ += "#EXT-X-MEDIA-SEQUENCE:" + std::to_string(window_.media_sequence) + "\n";
        wrote_sequence = true;
      } else if (name == "#EXT-X-DISCONTINUITY-SEQUENCE") {
        made_ += "#EXT-X-DISCONTINUITY-SEQUENCE:" + std::to_string(window_.discontinuity_sequence) + "\n";
        wrote_breaks = true;
      } else if (name == "#EXT-X-VERSION" && skipped > 0) {
        made_ += "#EXT-X-VERSION:" + std::to_string(std::max(delta_version, media.version)) + "\n";
        wrote_version = true;
      } else {
        copier_.copy(last, range, terms_.moved && terms_.moved(last));
        if (!line.ends_with('\n'))
          made_ += '\n';
      }
    };
    each_line(media.text, media.head, each);
    for (const auto& stray : media.strays)
      each(stray);
    if (!wrote_sequence && window_.media_sequence > 0)
      made_ += "#EXT-X-MEDIA-SEQUENCE:" + std::to_string(window_.media_sequence) + "\n";
    if (!wrote_breaks && window_.discontinuity_sequence > 0)
      made_ += "#EXT-X-DISCONTINUITY-SEQUENCE:" + std::to_string(window_.discontinuity_sequence) + "\n";
    if (skipped > 0) {
      if (!wrote_version)
        made_ += "#EXT-X-VERSION:" + std::to_string(delta_version) + "\n";
      made_ += "#EXT-X-SKIP:SKIPPED-SEGMENTS=" + std::to_string(skipped) + "\n";
    }
  }

  // A piece begins: what was in force before its first segment holds from here on.
  void repeat(const Piece& piece, const InForce* had, const InForce& wanted, bool moved) {
    if (had && !had->keys.empty() && wanted.keys.empty())
      made_ += "#EXT-X-KEY:METHOD=NONE\n";
    if (!had || had->keys != wanted.keys) {
      for (const auto& key : wanted.keys)
        copier_.line(piece, key, moved);
    }
    if (!wanted.map.empty())
      copier_.line(piece, wanted.map, moved);
    if (!wanted.bitrate.empty())
      made_ += wanted.bitrate + "\n";
  }

  // Where the viewer counts otherwise than the box, a key's implied vector is told.
  void numbered(const Piece& piece, std::uint32_t i, const InForce& with, bool moved) {
    for (const auto& key : with.keys)
      copier_.line(piece, key_with_vector(key, piece.sequence(i)), moved);
    const auto& segment = piece.at(i);
    each_line(piece.from->text, segment.lines, [&](Range range) {
      const auto line = range.of(piece.from->text);
      if (tag_name(line) != "#EXT-X-KEY" && !stray(piece, range))
        copy(piece, range, moved);
    });
  }

  void segment_lines(const Piece& piece, const Segment& segment, bool moved) {
    const auto& strays = piece.from->strays;
    const bool has_strays = std::any_of(strays.begin(), strays.end(), [&](Range stray) {
      return stray.from >= segment.lines.from && stray.to <= segment.lines.to;
    });
    if (!has_strays)
      return copy(piece, segment.lines, moved);
    each_line(piece.from->text, segment.lines, [&](Range range) {
      if (!stray(piece, range))
        copy(piece, range, moved);
    });
  }
  bool stray(const Piece& piece, Range range) const {
    const auto& strays = piece.from->strays;
    return std::find(strays.begin(), strays.end(), range) != strays.end();
  }
  void copy(const Piece& piece, Range range, bool moved) {
    copier_.copy(piece, range, moved);
    if (!range.of(piece.from->text).ends_with('\n'))
      made_ += '\n';
  }

  void tail(const Piece& last) {
    const auto& media = *last.from;
    const bool renumbered = last.sequence(0) + last.count != window_.media_sequence + window_.size();
    const bool moved = terms_.moved && terms_.moved(last);
    bool ended = false;
    each_line(media.text, media.tail, [&](Range range) {
      const auto name = tag_name(range.of(media.text));
      // Its numbers are those of the box, where another count is in force here.
      if (name == "#EXT-X-RENDITION-REPORT" && (renumbered || window_.pieces.size() > 1))
        return;
      ended = ended || name == "#EXT-X-ENDLIST";
      copy(last, range, moved);
    });
    if ((media.ended || window_.ended) && !ended)
      made_ += "#EXT-X-ENDLIST\n";
  }

  const Window& window_;
  const WriteTerms& terms_;
  std::string made_;
  Copier copier_;
};

}  // namespace

std::size_t Window::size() const {
  std::size_t sum = 0;
  for (const auto& piece : pieces)
    sum += piece.count;
  return sum;
}

bool as_it_is(const Window& window) {
  if (window.pieces.size() != 1)
    return false;
  const auto& piece = window.pieces[0];
  return (!window.ended || piece.from->ended) && !piece.breaks && piece.first == 0 &&
         piece.count == piece.from->segments.size() && window.media_sequence == piece.from->media_sequence &&
         window.discontinuity_sequence == piece.from->discontinuity_sequence;
}

std::variant<std::string, Fault> write_window(const Window& window, const WriteTerms& terms) {
  const auto& piece = window.pieces.back();
  const auto& media = *piece.from;
  if (!as_it_is(window) || (terms.delta && media.skip_until))
    return WindowWriter(window, terms).write();
  const bool moved = terms.moved && terms.moved(piece);
  if (!moved && media.uris.empty())
    return media.text;
  std::string made;
  made.reserve(media.text.size() + 256);
  Copier copier(made, terms);
  copier.copy(piece, {0, static_cast<std::uint32_t>(media.text.size())}, moved);
  if (copier.fault)
    return *copier.fault;
  return made;
}

std::variant<std::string, Fault> write_multivariant(const Multivariant& from, const Shown& shown,
                                                    const VariantAddress& address,
                                                    std::string_view own_lines) {
  struct Edit {
    Range at;
    std::string text;
  };
  std::vector<Edit> edits;
  std::optional<Fault> fault;
  const auto leave_out = [&](Range lines) { edits.push_back({lines, ""}); };
  const auto give = [&](Range uri, Tag of, std::size_t index) {
    if (uri.from == uri.to)
      return;
    const auto other = address(uri.of(from.text), of, index);
    if (const auto* none = std::get_if<NoAddress>(&other)) {
      if (!fault)
        fault = fault_at(from.text, uri.from, none->cause);
    } else if (const auto* text = std::get_if<std::string>(&other)) {
      edits.push_back({uri, *text});
    }
  };
  std::vector<std::string> groups;
  for (std::size_t i = 0; i < from.variants.size(); ++i) {
    const auto& variant = from.variants[i];
    if (!shown.variants[i]) {
      leave_out(variant.lines);
      continue;
    }
    give(variant.uri, Tag::stream_inf, i);
    for (const auto* group : {&variant.audio, &variant.video, &variant.subtitles, &variant.captions})
      groups.push_back(*group);
  }
  for (std::size_t i = 0; i < from.i_frames.size(); ++i) {
    if (shown.i_frames[i])
      give(from.i_frames[i].uri, Tag::i_frame_stream_inf, i);
    else
      leave_out(from.i_frames[i].lines);
  }
  for (std::size_t i = 0; i < from.renditions.size(); ++i) {
    const auto& rendition = from.renditions[i];
    if (std::find(groups.begin(), groups.end(), rendition.group) == groups.end())
      leave_out(rendition.lines);
    else
      give(rendition.uri, Tag::media, i);
  }
  for (std::size_t i = 0; i < from.others.size(); ++i)
    give(from.others[i].at, from.others[i].of, i);
  // Steering of the origin's would lead viewers past the box they were placed on.
  if (from.steering)
    leave_out(*from.steering);
  if (!own_lines.empty())
    edits.push_back({from.definitions_end, std::string(own_lines)});
  if (fault)
    return *fault;
  std::stable_sort(edits.begin(), edits.end(), [](auto& a, auto& b) {
    return std::pair(a.at.from, a.at.to) <
           std::pair(b.at.from, b.at.to);  // what goes in, before what goes out
  });
  std::string made;
  made.reserve(from.text.size() + 128 * edits.size());
  std::uint32_t at = 0;
  for (const auto& edit : edits) {
    made.append(from.text, at, edit.at.from - at).append(edit.text);
    at = edit.at.to;
  }
  return made.append(from.text, at);
}

}  // namespace violettide::hls
