#include "hls/continuity/continuity.h"

#include <algorithm>

namespace violettide::hls {

namespace {

constexpr std::uint32_t begun_anew_with = 3;  // segments from a list's end (RFC 8216, 6.3.3)

std::int64_t half(Duration duration) { return std::max<std::int64_t>(1, duration.count() / 2); }
bool near(std::int64_t a, std::int64_t b, Duration duration) { return std::abs(a - b) < half(duration); }

}  // namespace

// Segments are the same by their names, unless their times say otherwise; across rungs, whose names may
// be others, by their times.
bool Continuity::same(const Segment& a, const Media& in_a, const Segment& b, const Media& in_b,
                      bool same_rung) const {
  const bool named = a.uri.of(in_a.text) == b.uri.of(in_b.text) && a.range_offset == b.range_offset &&
                     a.range_length == b.range_length;
  const bool timed = a.wall != no_wall && b.wall != no_wall;
  if (timed && !near(a.wall, b.wall, a.duration))
    return false;
  if (same_rung)
    return named && a.discontinuity == b.discontinuity && a.gap == b.gap;
  return named || timed;
}

std::optional<std::uint32_t> Continuity::find_last(const Fresh& fresh) const {
  const auto& piece = window_.pieces.back();
  const auto& last = piece.at(piece.count - 1);
  const auto& media = *fresh.media;
  const bool same_rung = piece.rung == fresh.rung;
  // Where its number says; a box's own numbers go on for as long as it runs, and most boxes share them.
  const auto number = piece.sequence(piece.count - 1);
  if (number >= media.media_sequence && number < media.end_sequence()) {
    const auto at = static_cast<std::uint32_t>(number - media.media_sequence);
    const auto& there = media.segments[at];
    if (same(last, *piece.from, there, media, same_rung))
      return at;
    // Of other rungs of the same box the numbers run together where no times are told.
    if (!same_rung && piece.source == fresh.source && (last.wall == no_wall || there.wall == no_wall) &&
        last.duration == there.duration)
      return at;
  }
  for (auto i = static_cast<std::uint32_t>(media.segments.size()); i > 0; --i) {
    if (same(last, *piece.from, media.segments[i - 1], media, same_rung))
      return i - 1;
  }
  return std::nullopt;
}

// Where a list lies that does not have what was shown last.
Continuity::Lies Continuity::lies(const Fresh& fresh) const {
  const auto& piece = window_.pieces.back();
  const auto& last = piece.at(piece.count - 1);
  const auto& media = *fresh.media;
  if (media.segments.empty())
    return Lies::behind;
  const auto& first = media.segments.front();
  const auto& newest = media.segments.back();
  if (last.wall != no_wall && newest.wall != no_wall) {
    if (newest.wall <= last.wall - half(last.duration))
      return Lies::behind;
    // One that reaches over what was shown last and lacks it has a gap there.
    return Lies::ahead;
  }
  // Without times: a list whose end was shown is behind.
  std::size_t looked = 0;
  for (auto shown = window_.pieces.rbegin(); shown != window_.pieces.rend(); ++shown) {
    for (auto i = shown->count; i > 0 && looked < media.segments.size(); --i, ++looked) {
      if (same(shown->at(i - 1), *shown->from, newest, media, shown->rung == fresh.rung))
        return Lies::behind;
    }
  }
  if (piece.source == fresh.source && piece.rung == fresh.rung) {
    const auto number = piece.sequence(piece.count - 1);
    if (media.media_sequence > number && first.duration == last.duration)
      return Lies::ahead;
  }
  return Lies::unknown;
}

// The newest playlist takes the place of older ones where they say the same, so that those can be let go.
void Continuity::re_anchor(const Fresh& fresh, std::uint32_t last_at) {
  const auto& media = *fresh.media;
  std::uint32_t matched = 0;  // shown segments, from the last backwards, that the fresh list has as they are
  bool breaks = false;        // what was shown as a break stays one
  for (auto piece = window_.pieces.rbegin(); piece != window_.pieces.rend() && !breaks; ++piece) {
    auto i = piece->count;
    while (i > 0 && piece->rung == fresh.rung && matched <= last_at &&
           same(piece->at(i - 1), *piece->from, media.segments[last_at - matched], media, true))
      ++matched, --i;
    if (i > 0)
      break;
    breaks = piece->breaks;
  }
  if (matched == 0)
    return;
  auto left = window_.size() - matched;
  std::vector<Piece> pieces;
  for (const auto& piece : window_.pieces) {
    if (left == 0)
      break;
    pieces.push_back(piece);
    pieces.back().count = static_cast<std::uint32_t>(std::min<std::size_t>(left, piece.count));
    left -= pieces.back().count;
  }
  pieces.push_back({fresh.media, last_at + 1 - matched, matched, fresh.source, fresh.rung, breaks});
  window_.pieces = std::move(pieces);
  // What lies before has slid out, where the fresh list begins there. EVENT lists lose nothing.
  if (matched == last_at + 1 && media.type != "EVENT") {
    while (window_.pieces.size() > 1)
      drop_first(window_.pieces.front());
  }
}

void Continuity::drop_first(Piece& piece) {
  const auto& gone = piece.at(0);
  // What breaks before the first of a playlist is counted once it is left out (RFC 8216, 6.2.2).
  if (gone.discontinuity || piece.breaks)
    ++window_.discontinuity_sequence;
  piece.breaks = false;
  ++piece.first;
  --piece.count;
  ++window_.media_sequence;
  if (piece.count == 0)
    window_.pieces.erase(window_.pieces.begin());
}

void Continuity::append(const Fresh& fresh, std::uint32_t from, bool breaks) {
  const auto& media = *fresh.media;
  const auto end = static_cast<std::uint32_t>(media.segments.size());
  for (auto i = from; i < end;) {
    // A hole that the box does not tell: the media breaks where the times leap.
    auto to = i + 1;
    while (to < end) {
      const auto& segment = media.segments[to];
      const auto& before = media.segments[to - 1];
      if (segment.own_wall && before.wall != no_wall && !segment.discontinuity &&
          !near(segment.wall, before.wall + before.duration.count(), before.duration))
        break;
      ++to;
    }
    auto* last = window_.pieces.empty() ? nullptr : &window_.pieces.back();
    const bool goes_on = last && !breaks && last->from == fresh.media && last->first + last->count == i;
    if (goes_on)
      last->count += to - i;
    else
      window_.pieces.push_back({fresh.media, i, to - i, fresh.source, fresh.rung, breaks});
    i = to;
    breaks = true;
  }
}

void Continuity::trim(std::size_t most) {
  while (window_.size() > std::max<std::size_t>(1, most))
    drop_first(window_.pieces.front());
}

// Players take segments of one number in several renditions for the same stretch of time; so they are made to
// be, where times tell.
std::uint64_t Continuity::first_number(const Media& media, const Continuity* beside) const {
  if (!beside || beside->window_.pieces.empty())
    return media.media_sequence;
  const auto& piece = beside->window_.pieces.back();
  const auto& last = piece.at(piece.count - 1);
  const auto number = beside->window_.media_sequence + beside->window_.size() - 1;
  for (std::size_t i = 0; i < media.segments.size() && last.wall != no_wall; ++i) {
    const auto& segment = media.segments[i];
    if (segment.wall != no_wall && near(segment.wall, last.wall, last.duration) && number >= i)
      return number - i;
  }
  return media.media_sequence;
}

Course Continuity::take(Duration now, const Fresh& fresh, const Continuity* beside) {
  const auto& media = *fresh.media;
  if (window_.pieces.empty()) {
    news_at_ = now;
    if (media.segments.empty())
      return {Course::Step::stood, Duration(0)};
    window_.media_sequence = first_number(media, beside);
    window_.discontinuity_sequence = media.discontinuity_sequence;
    append(fresh, 0, false);
    return {Course::Step::began, Duration(0)};
  }
  const auto stood = [&] { return Course{Course::Step::stood, now - news_at_}; };
  const bool same_rung = window_.pieces.back().rung == fresh.rung;
  if (const auto at = find_last(fresh)) {
    const bool more = *at + 1 < media.segments.size();
    if (same_rung)
      re_anchor(fresh, *at);
    if (!more) {
      window_.ended = window_.ended || media.ended;
      return stood();
    }
    news_at_ = now;
    const auto& next = media.segments[*at + 1];
    const auto& last = window_.pieces.back().at(window_.pieces.back().count - 1);
    const bool hole = next.own_wall && last.wall != no_wall && !next.discontinuity &&
                      !near(next.wall, last.wall + last.duration.count(), last.duration);
    append(fresh, *at + 1, (!same_rung || hole) && !next.discontinuity);
    if (media.type != "EVENT")
      trim(media.segments.size());
    return {hole ? Course::Step::skipped : Course::Step::went_on, Duration(0)};
  }
  switch (lies(fresh)) {
    case Lies::behind:
      return stood();
    case Lies::ahead: {
      // The first that was not shown; what the list has of before stays as it was shown.
      const auto& last = window_.pieces.back().at(window_.pieces.back().count - 1);
      std::uint32_t from = 0;
      while (from < media.segments.size() && last.wall != no_wall && media.segments[from].wall != no_wall &&
             media.segments[from].wall < last.wall + half(last.duration))
        ++from;
      if (from == media.segments.size())
        return stood();
      news_at_ = now;
      const auto& next = media.segments[from];
      // A box that lacks only what was shown last follows it without a hole.
      const bool follows = same_rung && last.wall != no_wall && next.wall != no_wall &&
                           near(next.wall, last.wall + last.duration.count(), last.duration);
      append(fresh, from, !follows && !next.discontinuity);
      if (media.type != "EVENT")
        trim(media.segments.size());
      return {follows ? Course::Step::went_on : Course::Step::skipped, Duration(0)};
    }
    case Lies::unknown:
      break;
  }
  news_at_ = now;
  const auto count = static_cast<std::uint32_t>(media.segments.size());
  const auto from = count > begun_anew_with ? count - begun_anew_with : 0;
  append(fresh, from, !media.segments[from].discontinuity);
  if (media.type != "EVENT")
    trim(std::max<std::size_t>(media.segments.size(), begun_anew_with));
  return {Course::Step::began_anew, Duration(0)};
}

std::uint64_t Continuity::at_box(std::uint64_t shown) const {
  if (window_.pieces.empty())
    return shown;
  const auto& last = window_.pieces.back();
  const auto shown_end = window_.media_sequence + window_.size();
  const auto box_end = last.sequence(0) + last.count;
  // Only what lies ahead is asked for by number.
  return box_end >= shown_end ? shown + (box_end - shown_end) : shown - std::min(shown, shown_end - box_end);
}

}  // namespace violettide::hls
