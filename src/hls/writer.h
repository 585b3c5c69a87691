// Writes playlists for viewers from those of video servers: multivariant playlists with selected variants,
// and media playlists composed of slices of several. What needs no change is copied byte for byte.
#pragma once

#include <functional>

#include "hls/playlist.h"

namespace violettide::hls {

// Consecutive segments of one media playlist as some video server had it.
struct PlaylistSlice {
  std::shared_ptr<const MediaPlaylist> playlist;
  std::uint32_t first = 0;            // index of the first segment
  std::uint32_t count = 0;            // segments
  std::uint32_t source = 0;           // the video server, by the caller's numbering
  int rung = 0;                       // of the playlist
  bool discontinuity_before = false;  // the segment before it in the window does not lead into it

  const Segment& segment(std::uint32_t i) const { return playlist->segments[first + i]; }
  // The media sequence number of segment i at the video server.
  std::uint64_t sequence(std::uint32_t i) const { return playlist->media_sequence + first + i; }
};
// The segments that a media playlist lists.
struct Window {
  std::vector<PlaylistSlice> slices;
  std::uint64_t media_sequence = 0;
  std::uint64_t discontinuity_sequence = 0;
  bool ended = false;  // add EXT-X-ENDLIST even if the last slice's playlist has none
  // The number of segments.
  std::size_t size() const;
};

// Why a URI can't be rewritten for viewers.
struct RewriteError {
  std::string cause;
};
// The replacement of a URI; std::monostate leaves it unchanged.
using RewrittenUri = std::variant<std::monostate, std::string, RewriteError>;
using UriRewriter = std::function<RewrittenUri(const PlaylistSlice& slice, std::string_view uri, Tag tag)>;

// How write_media_playlist() writes a window.
struct WriteOptions {
  UriRewriter rewrite_uri;
  // Whether the slice's files are not in the directory of the playlist that the viewer reads, so that its
  // plain file names are passed to `rewrite_uri` too.
  std::function<bool(const PlaylistSlice&)> is_relocated;
  bool delta_update = false;  // write EXT-X-SKIP for older segments where the playlist allows it
};
// Writes the window as one media playlist; head and tail come from the last slice's playlist. Fails if a URI
// can't be rewritten.
std::variant<std::string, PlaylistError> write_media_playlist(const Window& window,
                                                              const WriteOptions& options);
// Whether the window is exactly the playlist of its only slice, with the same numbers.
bool is_unchanged(const Window& window);

// Which variants and I-frame streams to keep, by their indexes.
struct VariantSelection {
  std::vector<bool> variants;
  std::vector<bool> i_frames;
};
// `index` is that of the URI among those of its kind.
using MultivariantUriRewriter = std::function<RewrittenUri(std::string_view uri, Tag tag, std::size_t index)>;
// Writes the selected variants and the renditions that they refer to, without EXT-X-CONTENT-STEERING;
// `inserted_lines` go after the tags at the top. Fails if a URI can't be rewritten.
std::variant<std::string, PlaylistError> write_multivariant_playlist(
    const MultivariantPlaylist& playlist, const VariantSelection& selection,
    const MultivariantUriRewriter& rewrite_uri, std::string_view inserted_lines = {});

}  // namespace violettide::hls
