// One media playlist as one player sees it, while the boxes behind it change: numbers that never go back,
// no segment twice and none left out that some box had, discontinuities only where the media breaks. Free
// of I/O and clock: what a box had and when, in; the window to show, out.
#pragma once

#include <optional>

#include "hls/writer.h"

namespace violettide::hls {

// A playlist as a box had it just now.
struct Fresh {
  std::shared_ptr<const Media> media;
  std::uint32_t source = 0;  // the box
  int rung = 0;              // of what it lists
};
struct Course {
  enum class Step {
    began,      // the first the player sees
    went_on,    // nothing between it and what was shown
    stood,      // the box has nothing that was not shown: what was shown is shown again
    skipped,    // segments that no box shows any more lie between
    began_anew  // nothing says how it follows what was shown
  };
  Step step = Step::began;
  Duration stood_for{0};  // how long nothing new has come
};

class Continuity {
 public:
  // `beside`: another rendition's course of the same player, to begin with its numbers; null where none is.
  Course take(Duration now, const Fresh& fresh, const Continuity* beside = nullptr);
  // As it was shown last; no pieces before the first take().
  const Window& window() const { return window_; }
  // The number that the newest box gives to what the player calls `shown`; for requests that name one.
  std::uint64_t at_box(std::uint64_t shown) const;

 private:
  std::uint64_t first_number(const Media& media, const Continuity* beside) const;
  std::optional<std::uint32_t> find_last(const Fresh& fresh) const;
  enum class Lies { unknown, behind, ahead };
  Lies lies(const Fresh& fresh) const;
  bool same(const Segment& a, const Media& in_a, const Segment& b, const Media& in_b, bool same_rung) const;
  void re_anchor(const Fresh& fresh, std::uint32_t last_at);
  void append(const Fresh& fresh, std::uint32_t from, bool breaks);
  void trim(std::size_t most);
  void drop_first(Piece& piece);

  Window window_;
  Duration news_at_{0};
};

}  // namespace violettide::hls
