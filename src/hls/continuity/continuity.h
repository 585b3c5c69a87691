// Keeps the media playlist that one player reads consistent while the video servers behind it change: media
// sequence numbers never go back, no segment is listed twice, none that some server had is left out, and a
// discontinuity is signalled only where the media has one. Free of I/O and clock.
#pragma once

#include <optional>

#include "hls/writer.h"

namespace violettide::hls {

// A playlist as a video server had it just now.
struct PlaylistUpdate {
  std::shared_ptr<const MediaPlaylist> playlist;
  std::uint32_t source = 0;  // the video server
  int rung = 0;              // of the playlist
};
// How an update relates to what the player was shown before.
struct ContinuityResult {
  enum class Step {
    started,    // the first playlist that the player sees
    continued,  // new segments follow the last one shown
    unchanged,  // the server has nothing new: the same window is shown again
    skipped,    // new segments, but some in between are no longer listed by any server
    restarted   // nothing shows how the playlist relates to the window
  };
  Step step = Step::started;
  Duration unchanged_for{0};  // the time since the last new segment
};

// The window of one rendition for one player.
class Continuity {
 public:
  // Adds the new segments of an update. `other_rendition` is another rendition's window of the same player,
  // to start with the same sequence numbers; null if there is none.
  ContinuityResult apply(Duration now, const PlaylistUpdate& update,
                         const Continuity* other_rendition = nullptr);
  // The window shown last; it has no slices before the first apply().
  const Window& window() const { return window_; }
  // The newest video server's sequence number for the player's number `shown`, for requests that name one.
  std::uint64_t server_sequence(std::uint64_t shown) const;

 private:
  std::uint64_t initial_sequence(const MediaPlaylist& media, const Continuity* other_rendition) const;
  std::optional<std::uint32_t> find_last_shown(const PlaylistUpdate& update) const;
  // Where an update lies relative to the last segment shown, which it does not list.
  enum class Position { unknown, behind, ahead };
  Position position_of(const PlaylistUpdate& update) const;
  bool is_same_segment(const Segment& a, const MediaPlaylist& in_a, const Segment& b,
                       const MediaPlaylist& in_b, bool same_rung) const;
  void replace_matched_slices(const PlaylistUpdate& update, std::uint32_t last_at);
  void append(const PlaylistUpdate& update, std::uint32_t from, bool discontinuity_before);
  void trim(std::size_t max_segments);
  void drop_first(PlaylistSlice& slice);

  Window window_;
  Duration last_progress_at_{0};
};

}  // namespace violettide::hls
