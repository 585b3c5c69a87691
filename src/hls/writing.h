// Playlists for viewers, out of those of boxes: chosen variants, and windows made of pieces of several
// media playlists. What needs no change is copied as it is.
#pragma once

#include <functional>

#include "hls/playlist.h"

namespace violettide::hls {

// So many segments in a row of one playlist, as some box had it.
struct Piece {
  std::shared_ptr<const Media> from;
  std::uint32_t first = 0, count = 0;
  std::uint32_t source = 0;  // whose it is, as the caller numbers boxes
  int rung = 0;
  bool breaks = false;  // what comes before it in the window does not lead into it

  const Segment& at(std::uint32_t i) const { return from->segments[first + i]; }
  std::uint64_t sequence(std::uint32_t i) const { return from->media_sequence + first + i; }
};
struct Window {
  std::vector<Piece> pieces;
  std::uint64_t media_sequence = 0, discontinuity_sequence = 0;
  bool ended = false;  // nothing follows, whatever the last piece's playlist says
  std::size_t size() const;
};

// The address to be given to a viewer in place of what a playlist says; nothing: it stays. An error is the
// cause why it has none.
struct NoAddress {
  std::string cause;
};
using Address = std::variant<std::monostate, std::string, NoAddress>;
using AddressOf = std::function<Address(const Piece& piece, std::string_view uri, Tag of)>;

struct WriteTerms {
  AddressOf address;
  // Plain names of a piece lie elsewhere than the viewer's own playlist: asked for each, by `address`.
  std::function<bool(const Piece&)> moved;
  bool delta = false;  // leave out what a viewer that reads on has (EXT-X-SKIP), where the playlist allows it
};
// The window as one playlist; the last piece's playlist gives head and tail.
std::variant<std::string, Fault> write_window(const Window& window, const WriteTerms& terms);
// It is what its only piece's playlist says: nothing is left out, put in or numbered anew.
bool as_it_is(const Window& window);

// Which lines of a multivariant playlist a viewer is shown.
struct Shown {
  std::vector<bool> variants, i_frames;
};
using VariantAddress = std::function<Address(std::string_view uri, Tag of, std::size_t index)>;
std::variant<std::string, Fault> write_multivariant(const Multivariant& from, const Shown& shown,
                                                    const VariantAddress& address,
                                                    std::string_view own_lines = {});

}  // namespace violettide::hls
