#include "hls/writer.h"

#include <algorithm>
#include <cstdio>

namespace violettide::hls {

namespace {

constexpr std::uint64_t delta_version = 9;  // the lowest EXT-X-VERSION that allows EXT-X-SKIP

// Copies ranges of a playlist and rewrites their URIs.
class UriRewritingCopier {
 public:
  UriRewritingCopier(std::string& output, const WriteOptions& options) : output_(output), options_(options) {}

  void copy(const PlaylistSlice& slice, TextRange range, bool relocated) {
    const auto& media = *slice.playlist;
    auto at = range.from;
    // Rewrites every URI in the range if the slice is relocated, else all but plain file names.
    const auto rewrite = [&](const UriReference& uri) {
      if (uri.range.from < at || uri.range.to > range.to)
        return;
      const auto text = uri.range.view_in(media.text);
      auto address = options_.rewrite_uri ? options_.rewrite_uri(slice, text, uri.tag) : RewrittenUri{};
      if (auto* rewrite_error = std::get_if<RewriteError>(&address)) {
        if (!error)
          error = error_at(media.text, uri.range.from, rewrite_error->cause);
        return;
      }
      output_.append(media.text, at, uri.range.from - at);
      if (auto* replacement = std::get_if<std::string>(&address))
        output_.append(*replacement);
      else
        output_.append(text);
      at = uri.range.to;
    };
    if (!relocated) {
      for (auto it = first_in(media.non_plain_uris, range);
           it != media.non_plain_uris.end() && it->range.from < range.to; ++it)
        rewrite(*it);
    } else {
      auto attribute = first_in(media.attribute_uris, range);
      auto segment = std::lower_bound(media.segments.begin(), media.segments.end(), range.from,
                                      [](const Segment& s, std::uint32_t from) { return s.uri.from < from; });
      for (;;) {
        const bool more_attributes =
            attribute != media.attribute_uris.end() && attribute->range.from < range.to;
        const bool more_segments = segment != media.segments.end() && segment->uri.from < range.to;
        if (more_attributes && (!more_segments || attribute->range.from < segment->uri.from))
          rewrite(*attribute++);
        else if (more_segments)
          rewrite({(segment++)->uri, Tag::inf});
        else
          break;
      }
    }
    output_.append(media.text, at, range.to - at);
  }

  // Copies a line that is not at this position in the playlist, and rewrites its URI if it has one.
  void copy_line(const PlaylistSlice& slice, std::string_view text, bool relocated) {
    const auto colon = text.find(':');
    AttributeList attributes;
    const Attribute* uri = nullptr;
    if (colon != std::string_view::npos && !parse_attributes(text.substr(colon + 1), attributes))
      uri = attributes.find("URI");
    if (uri && (relocated || !is_plain_file_name(uri->value)) && options_.rewrite_uri) {
      const auto tag = text.starts_with("#EXT-X-MAP") ? Tag::map : Tag::key;
      const auto address = options_.rewrite_uri(slice, uri->value, tag);
      if (const auto* rewrite_error = std::get_if<RewriteError>(&address)) {
        if (!error)
          error = PlaylistError{0, rewrite_error->cause};
      } else if (const auto* replacement = std::get_if<std::string>(&address)) {
        const auto from = static_cast<std::size_t>(uri->value.data() - text.data());
        output_.append(text.substr(0, from))
            .append(*replacement)
            .append(text.substr(from + uri->value.size()));
        output_ += '\n';
        return;
      }
    }
    output_.append(text) += '\n';
  }

  std::optional<PlaylistError> error;

 private:
  static std::vector<UriReference>::const_iterator first_in(const std::vector<UriReference>& uris,
                                                            TextRange range) {
    return std::lower_bound(
        uris.begin(), uris.end(), range.from,
        [](const UriReference& uri, std::uint32_t from) { return uri.range.from < from; });
  }

  std::string& output_;
  const WriteOptions& options_;
};

std::string_view tag_name(std::string_view line) {
  while (!line.empty() && (line.back() == '\n' || line.back() == '\r'))
    line.remove_suffix(1);
  return line.substr(0, line.find(':'));
}

template <typename Each>
void each_line(std::string_view text, TextRange range, const Each& each) {
  for (auto from = range.from; from < range.to;) {
    const auto end = text.find('\n', from);
    const auto to =
        end == std::string_view::npos || end + 1 > range.to ? range.to : static_cast<std::uint32_t>(end + 1);
    each(TextRange{from, to});
    from = to;
  }
}

// Makes the initialization vector of an AES-128 key explicit. It defaults to the media sequence number, which
// is not that of the written playlist.
std::string key_with_iv(std::string_view key, std::uint64_t sequence) {
  if (key.find("METHOD=AES-128") == std::string_view::npos || key.find("IV=") != std::string_view::npos)
    return std::string(key);
  char iv[48];
  std::snprintf(iv, sizeof iv, ",IV=0x%032llx", static_cast<unsigned long long>(sequence));
  return std::string(key) + iv;
}

// Composes a media playlist from the slices of a window.
class WindowWriter {
 public:
  WindowWriter(const Window& window, const WriteOptions& options)
      : window_(window), options_(options), copier_(output_, options) {}

  std::variant<std::string, PlaylistError> write() {
    const auto& last = window_.slices.back();
    const auto& newest = *last.playlist;
    const bool reaches_end = last.first + last.count == newest.segments.size();
    output_.reserve(newest.text.size() + 256);
    const auto skipped = options_.delta_update ? skippable_segments() : 0;
    write_head(last, skipped);
    std::uint64_t sequence = window_.media_sequence;
    std::size_t at = 0;
    const PersistentTags* state = nullptr;
    for (const auto& slice : window_.slices) {
      const bool relocated = options_.is_relocated && options_.is_relocated(slice);
      const bool renumbered = slice.sequence(0) != sequence;
      for (std::uint32_t i = 0; i < slice.count; ++i, ++sequence, ++at) {
        if (at < skipped)
          continue;
        const auto& segment = slice.segment(i);
        const auto& before = slice.playlist->states[segment.state_before];
        const auto& with = slice.playlist->states[segment.state];
        const bool needs_explicit_iv = renumbered && with.implicit_iv;
        // After EXT-X-SKIP the player still knows the tags in effect before the first listed segment.
        if (skipped > 0 && at == skipped)
          state = &before;
        if (i == 0 && slice.discontinuity_before && !segment.discontinuity)
          output_ += "#EXT-X-DISCONTINUITY\n";
        if (i == 0 && (!state || !(*state == before)))
          write_persistent_tags(slice, state, before, relocated);
        if (needs_explicit_iv)
          write_with_explicit_iv(slice, i, with, relocated);
        else
          write_segment(slice, segment, relocated);
        state = &with;
      }
    }
    if (reaches_end)
      write_tail(last);
    else if (window_.ended)
      output_ += "#EXT-X-ENDLIST\n";
    if (copier_.error)
      return *copier_.error;
    return std::move(output_);
  }

 private:
  // The number of segments further from the end than the skip boundary (draft, 4.4.5.2).
  std::size_t skippable_segments() const {
    const auto& newest = *window_.slices.back().playlist;
    if (!newest.skip_until || newest.ended)
      return 0;
    Duration duration_from_end{0};
    std::size_t kept = 0;
    for (auto slice = window_.slices.rbegin(); slice != window_.slices.rend(); ++slice) {
      for (auto i = slice->count; i > 0; --i) {
        duration_from_end += slice->segment(i - 1).duration;
        ++kept;
        if (duration_from_end >= *newest.skip_until)
          return window_.size() - kept;
      }
    }
    return 0;
  }

  void write_head(const PlaylistSlice& last, std::size_t skipped) {
    const auto& media = *last.playlist;
    bool wrote_sequence = false, wrote_discontinuity_sequence = false, wrote_version = false;
    const auto each = [&](TextRange range) {
      const auto line = range.view_in(media.text);
      const auto name = tag_name(line);
      if (name == "#EXT-X-ENDLIST")
        return;
      if (name == "#EXT-X-MEDIA-SEQUENCE") {
        output_ += "#EXT-X-MEDIA-SEQUENCE:" + std::to_string(window_.media_sequence) + "\n";
        wrote_sequence = true;
      } else if (name == "#EXT-X-DISCONTINUITY-SEQUENCE") {
        output_ += "#EXT-X-DISCONTINUITY-SEQUENCE:" + std::to_string(window_.discontinuity_sequence) + "\n";
        wrote_discontinuity_sequence = true;
      } else if (name == "#EXT-X-VERSION" && skipped > 0) {
        output_ += "#EXT-X-VERSION:" + std::to_string(std::max(delta_version, media.version)) + "\n";
        wrote_version = true;
      } else {
        copier_.copy(last, range, options_.is_relocated && options_.is_relocated(last));
        if (!line.ends_with('\n'))
          output_ += '\n';
      }
    };
    each_line(media.text, media.head, each);
    for (const auto& misplaced : media.misplaced_tags)
      each(misplaced);
    if (!wrote_sequence && window_.media_sequence > 0)
      output_ += "#EXT-X-MEDIA-SEQUENCE:" + std::to_string(window_.media_sequence) + "\n";
    if (!wrote_discontinuity_sequence && window_.discontinuity_sequence > 0)
      output_ += "#EXT-X-DISCONTINUITY-SEQUENCE:" + std::to_string(window_.discontinuity_sequence) + "\n";
    if (skipped > 0) {
      if (!wrote_version)
        output_ += "#EXT-X-VERSION:" + std::to_string(delta_version) + "\n";
      output_ += "#EXT-X-SKIP:SKIPPED-SEGMENTS=" + std::to_string(skipped) + "\n";
    }
  }

  // Writes the tags that apply to a slice from its first segment on and were set before it.
  void write_persistent_tags(const PlaylistSlice& slice, const PersistentTags* current,
                             const PersistentTags& required, bool relocated) {
    if (current && !current->keys.empty() && required.keys.empty())
      output_ += "#EXT-X-KEY:METHOD=NONE\n";
    if (!current || current->keys != required.keys) {
      for (const auto& key : required.keys)
        copier_.copy_line(slice, key, relocated);
    }
    if (!required.map.empty())
      copier_.copy_line(slice, required.map, relocated);
    if (!required.bitrate.empty())
      output_ += required.bitrate + "\n";
  }

  // Writes a segment whose media sequence number differs from the one that its implicit IV is derived from.
  void write_with_explicit_iv(const PlaylistSlice& slice, std::uint32_t i, const PersistentTags& with,
                              bool relocated) {
    for (const auto& key : with.keys)
      copier_.copy_line(slice, key_with_iv(key, slice.sequence(i)), relocated);
    const auto& segment = slice.segment(i);
    each_line(slice.playlist->text, segment.lines, [&](TextRange range) {
      const auto line = range.view_in(slice.playlist->text);
      if (tag_name(line) != "#EXT-X-KEY" && !is_misplaced(slice, range))
        copy(slice, range, relocated);
    });
  }

  void write_segment(const PlaylistSlice& slice, const Segment& segment, bool relocated) {
    const auto& misplaced_tags = slice.playlist->misplaced_tags;
    const bool has_misplaced_tags =
        std::any_of(misplaced_tags.begin(), misplaced_tags.end(), [&](TextRange misplaced) {
          return misplaced.from >= segment.lines.from && misplaced.to <= segment.lines.to;
        });
    if (!has_misplaced_tags)
      return copy(slice, segment.lines, relocated);
    each_line(slice.playlist->text, segment.lines, [&](TextRange range) {
      if (!is_misplaced(slice, range))
        copy(slice, range, relocated);
    });
  }
  bool is_misplaced(const PlaylistSlice& slice, TextRange range) const {
    const auto& misplaced_tags = slice.playlist->misplaced_tags;
    return std::find(misplaced_tags.begin(), misplaced_tags.end(), range) != misplaced_tags.end();
  }
  void copy(const PlaylistSlice& slice, TextRange range, bool relocated) {
    copier_.copy(slice, range, relocated);
    if (!range.view_in(slice.playlist->text).ends_with('\n'))
      output_ += '\n';
  }

  void write_tail(const PlaylistSlice& last) {
    const auto& media = *last.playlist;
    const bool renumbered = last.sequence(0) + last.count != window_.media_sequence + window_.size();
    const bool relocated = options_.is_relocated && options_.is_relocated(last);
    bool ended = false;
    each_line(media.text, media.tail, [&](TextRange range) {
      const auto name = tag_name(range.view_in(media.text));
      // A rendition report has the video server's sequence numbers, which are wrong in a renumbered window.
      if (name == "#EXT-X-RENDITION-REPORT" && (renumbered || window_.slices.size() > 1))
        return;
      ended = ended || name == "#EXT-X-ENDLIST";
      copy(last, range, relocated);
    });
    if ((media.ended || window_.ended) && !ended)
      output_ += "#EXT-X-ENDLIST\n";
  }

  const Window& window_;
  const WriteOptions& options_;
  std::string output_;
  UriRewritingCopier copier_;
};

}  // namespace

std::size_t Window::size() const {
  std::size_t sum = 0;
  for (const auto& slice : slices)
    sum += slice.count;
  return sum;
}

bool is_unchanged(const Window& window) {
  if (window.slices.size() != 1)
    return false;
  const auto& slice = window.slices[0];
  return (!window.ended || slice.playlist->ended) && !slice.discontinuity_before && slice.first == 0 &&
         slice.count == slice.playlist->segments.size() &&
         window.media_sequence == slice.playlist->media_sequence &&
         window.discontinuity_sequence == slice.playlist->discontinuity_sequence;
}

std::variant<std::string, PlaylistError> write_media_playlist(const Window& window,
                                                              const WriteOptions& options) {
  const auto& slice = window.slices.back();
  const auto& media = *slice.playlist;
  if (!is_unchanged(window) || (options.delta_update && media.skip_until))
    return WindowWriter(window, options).write();
  const bool relocated = options.is_relocated && options.is_relocated(slice);
  if (!relocated && media.non_plain_uris.empty())
    return media.text;
  std::string output;
  output.reserve(media.text.size() + 256);
  UriRewritingCopier copier(output, options);
  copier.copy(slice, {0, static_cast<std::uint32_t>(media.text.size())}, relocated);
  if (copier.error)
    return *copier.error;
  return output;
}

std::variant<std::string, PlaylistError> write_multivariant_playlist(
    const MultivariantPlaylist& playlist, const VariantSelection& selection,
    const MultivariantUriRewriter& rewrite_uri, std::string_view inserted_lines) {
  struct Edit {
    TextRange range;
    std::string text;
  };
  std::vector<Edit> edits;
  std::optional<PlaylistError> error;
  const auto remove = [&](TextRange lines) { edits.push_back({lines, ""}); };
  const auto rewrite = [&](TextRange uri, Tag tag, std::size_t index) {
    if (uri.from == uri.to)
      return;
    const auto replacement = rewrite_uri(uri.view_in(playlist.text), tag, index);
    if (const auto* rewrite_error = std::get_if<RewriteError>(&replacement)) {
      if (!error)
        error = error_at(playlist.text, uri.from, rewrite_error->cause);
    } else if (const auto* text = std::get_if<std::string>(&replacement)) {
      edits.push_back({uri, *text});
    }
  };
  std::vector<std::string> groups;
  for (std::size_t i = 0; i < playlist.variants.size(); ++i) {
    const auto& variant = playlist.variants[i];
    if (!selection.variants[i]) {
      remove(variant.lines);
      continue;
    }
    rewrite(variant.uri, Tag::stream_inf, i);
    for (const auto* group : {&variant.audio, &variant.video, &variant.subtitles, &variant.closed_captions})
      groups.push_back(*group);
  }
  for (std::size_t i = 0; i < playlist.i_frames.size(); ++i) {
    if (selection.i_frames[i])
      rewrite(playlist.i_frames[i].uri, Tag::i_frame_stream_inf, i);
    else
      remove(playlist.i_frames[i].lines);
  }
  for (std::size_t i = 0; i < playlist.renditions.size(); ++i) {
    const auto& rendition = playlist.renditions[i];
    if (std::find(groups.begin(), groups.end(), rendition.group) == groups.end())
      remove(rendition.lines);
    else
      rewrite(rendition.uri, Tag::media, i);
  }
  for (std::size_t i = 0; i < playlist.session_uris.size(); ++i)
    rewrite(playlist.session_uris[i].range, playlist.session_uris[i].tag, i);
  // The origin's content steering would send viewers away from the video server they were placed on.
  if (playlist.content_steering)
    remove(*playlist.content_steering);
  if (!inserted_lines.empty())
    edits.push_back({playlist.insertion_point, std::string(inserted_lines)});
  if (error)
    return *error;
  std::stable_sort(edits.begin(), edits.end(), [](auto& a, auto& b) {
    return std::pair(a.range.from, a.range.to) <
           std::pair(b.range.from, b.range.to);  // insertions before removals
  });
  std::string output;
  output.reserve(playlist.text.size() + 128 * edits.size());
  std::uint32_t at = 0;
  for (const auto& edit : edits) {
    output.append(playlist.text, at, edit.range.from - at).append(edit.text);
    at = edit.range.to;
  }
  return output.append(playlist.text, at);
}

}  // namespace violettide::hls
