#include "hls/continuity/continuity.h"

#include <algorithm>

namespace violettide::hls {

namespace {

constexpr std::uint32_t restart_segments = 3;  // counted from the end of the playlist (RFC 8216, 6.3.3)

// Times in microseconds are near if they differ by less than half a segment.
std::int64_t half(Duration duration) { return std::max<std::int64_t>(1, duration.count() / 2); }
bool is_near(std::int64_t a, std::int64_t b, Duration duration) { return std::abs(a - b) < half(duration); }

}  // namespace

// Segments are the same if their URIs and byte ranges are, unless their times differ. Across rungs, which may
// use other names, equal times suffice.
bool Continuity::is_same_segment(const Segment& a, const MediaPlaylist& in_a, const Segment& b,
                                 const MediaPlaylist& in_b, bool same_rung) const {
  const bool same_name = a.uri.view_in(in_a.text) == b.uri.view_in(in_b.text) &&
                         a.byte_range_offset == b.byte_range_offset &&
                         a.byte_range_length == b.byte_range_length;
  const bool both_dated = a.date_time_us != no_date_time && b.date_time_us != no_date_time;
  if (both_dated && !is_near(a.date_time_us, b.date_time_us, a.duration))
    return false;
  if (same_rung)
    return same_name && a.discontinuity == b.discontinuity && a.gap == b.gap;
  return same_name || both_dated;
}

std::optional<std::uint32_t> Continuity::find_last_shown(const PlaylistUpdate& update) const {
  const auto& slice = window_.slices.back();
  const auto& last = slice.segment(slice.count - 1);
  const auto& media = *update.playlist;
  const bool same_rung = slice.rung == update.rung;
  // Looks at its sequence number first: a video server numbers consistently while it runs, and most video
  // servers use the same numbers.
  const auto number = slice.sequence(slice.count - 1);
  if (number >= media.media_sequence && number < media.end_sequence()) {
    const auto at = static_cast<std::uint32_t>(number - media.media_sequence);
    const auto& there = media.segments[at];
    if (is_same_segment(last, *slice.playlist, there, media, same_rung))
      return at;
    // Without times, the rungs of one video server are taken to share sequence numbers.
    if (!same_rung && slice.source == update.source &&
        (last.date_time_us == no_date_time || there.date_time_us == no_date_time) &&
        last.duration == there.duration)
      return at;
  }
  for (auto i = static_cast<std::uint32_t>(media.segments.size()); i > 0; --i) {
    if (is_same_segment(last, *slice.playlist, media.segments[i - 1], media, same_rung))
      return i - 1;
  }
  return std::nullopt;
}

// The position of an update that does not list the last segment shown.
Continuity::Position Continuity::position_of(const PlaylistUpdate& update) const {
  const auto& slice = window_.slices.back();
  const auto& last = slice.segment(slice.count - 1);
  const auto& media = *update.playlist;
  if (media.segments.empty())
    return Position::behind;
  const auto& first = media.segments.front();
  const auto& newest = media.segments.back();
  if (last.date_time_us != no_date_time && newest.date_time_us != no_date_time) {
    if (newest.date_time_us <= last.date_time_us - half(last.duration))
      return Position::behind;
    // An update that covers the time of the last segment shown but does not list it has a gap there.
    return Position::ahead;
  }
  // Without times, an update is behind if its last segment was shown.
  std::size_t looked = 0;
  for (auto shown = window_.slices.rbegin(); shown != window_.slices.rend(); ++shown) {
    for (auto i = shown->count; i > 0 && looked < media.segments.size(); --i, ++looked) {
      if (is_same_segment(shown->segment(i - 1), *shown->playlist, newest, media, shown->rung == update.rung))
        return Position::behind;
    }
  }
  if (slice.source == update.source && slice.rung == update.rung) {
    const auto number = slice.sequence(slice.count - 1);
    if (media.media_sequence > number && first.duration == last.duration)
      return Position::ahead;
  }
  return Position::unknown;
}

// Replaces slices of older playlists by the update where both list the same, so that those can be released.
void Continuity::replace_matched_slices(const PlaylistUpdate& update, std::uint32_t last_at) {
  const auto& media = *update.playlist;
  std::uint32_t matched = 0;  // shown segments, counted from the last one, that the update lists unchanged
  bool discontinuity_before = false;  // a discontinuity that was shown is kept
  for (auto slice = window_.slices.rbegin(); slice != window_.slices.rend() && !discontinuity_before;
       ++slice) {
    auto i = slice->count;
    while (i > 0 && slice->rung == update.rung && matched <= last_at &&
           is_same_segment(slice->segment(i - 1), *slice->playlist, media.segments[last_at - matched], media,
                           true))
      ++matched, --i;
    if (i > 0)
      break;
    discontinuity_before = slice->discontinuity_before;
  }
  if (matched == 0)
    return;
  auto left = window_.size() - matched;
  std::vector<PlaylistSlice> slices;
  for (const auto& slice : window_.slices) {
    if (left == 0)
      break;
    slices.push_back(slice);
    slices.back().count = static_cast<std::uint32_t>(std::min<std::size_t>(left, slice.count));
    left -= slices.back().count;
  }
  slices.push_back(
      {update.playlist, last_at + 1 - matched, matched, update.source, update.rung, discontinuity_before});
  window_.slices = std::move(slices);
  // Drops the older segments if the update starts with the matched ones. EVENT playlists keep all segments.
  if (matched == last_at + 1 && media.type != "EVENT") {
    while (window_.slices.size() > 1)
      drop_first(window_.slices.front());
  }
}

void Continuity::drop_first(PlaylistSlice& slice) {
  const auto& dropped = slice.segment(0);
  // A discontinuity before a segment counts once the segment leaves the playlist (RFC 8216, 6.2.2).
  if (dropped.discontinuity || slice.discontinuity_before)
    ++window_.discontinuity_sequence;
  slice.discontinuity_before = false;
  ++slice.first;
  --slice.count;
  ++window_.media_sequence;
  if (slice.count == 0)
    window_.slices.erase(window_.slices.begin());
}

void Continuity::append(const PlaylistUpdate& update, std::uint32_t from, bool discontinuity_before) {
  const auto& media = *update.playlist;
  const auto end = static_cast<std::uint32_t>(media.segments.size());
  for (auto i = from; i < end;) {
    // Splits where the times jump without EXT-X-DISCONTINUITY: segments are missing there.
    auto to = i + 1;
    while (to < end) {
      const auto& segment = media.segments[to];
      const auto& before = media.segments[to - 1];
      if (segment.has_own_date_time && before.date_time_us != no_date_time && !segment.discontinuity &&
          !is_near(segment.date_time_us, before.date_time_us + before.duration.count(), before.duration))
        break;
      ++to;
    }
    auto* last = window_.slices.empty() ? nullptr : &window_.slices.back();
    const bool extends_last =
        last && !discontinuity_before && last->playlist == update.playlist && last->first + last->count == i;
    if (extends_last)
      last->count += to - i;
    else
      window_.slices.push_back(
          {update.playlist, i, to - i, update.source, update.rung, discontinuity_before});
    i = to;
    discontinuity_before = true;
  }
}

void Continuity::trim(std::size_t max_segments) {
  while (window_.size() > std::max<std::size_t>(1, max_segments))
    drop_first(window_.slices.front());
}

// Aligns the sequence numbers with those of another rendition where the times allow it: players assume that
// segments with the same number in several renditions cover the same time.
std::uint64_t Continuity::initial_sequence(const MediaPlaylist& media,
                                           const Continuity* other_rendition) const {
  if (!other_rendition || other_rendition->window_.slices.empty())
    return media.media_sequence;
  const auto& slice = other_rendition->window_.slices.back();
  const auto& last = slice.segment(slice.count - 1);
  const auto number = other_rendition->window_.media_sequence + other_rendition->window_.size() - 1;
  for (std::size_t i = 0; i < media.segments.size() && last.date_time_us != no_date_time; ++i) {
    const auto& segment = media.segments[i];
    if (segment.date_time_us != no_date_time &&
        is_near(segment.date_time_us, last.date_time_us, last.duration) && number >= i)
      return number - i;
  }
  return media.media_sequence;
}

ContinuityResult Continuity::apply(Duration now, const PlaylistUpdate& update,
                                   const Continuity* other_rendition) {
  const auto& media = *update.playlist;
  if (window_.slices.empty()) {
    last_progress_at_ = now;
    if (media.segments.empty())
      return {ContinuityResult::Step::unchanged, Duration(0)};
    window_.media_sequence = initial_sequence(media, other_rendition);
    window_.discontinuity_sequence = media.discontinuity_sequence;
    append(update, 0, false);
    return {ContinuityResult::Step::started, Duration(0)};
  }
  const auto unchanged = [&] {
    return ContinuityResult{ContinuityResult::Step::unchanged, now - last_progress_at_};
  };
  const bool same_rung = window_.slices.back().rung == update.rung;
  if (const auto at = find_last_shown(update)) {
    const bool has_more = *at + 1 < media.segments.size();
    if (same_rung)
      replace_matched_slices(update, *at);
    if (!has_more) {
      window_.ended = window_.ended || media.ended;
      return unchanged();
    }
    last_progress_at_ = now;
    const auto& next = media.segments[*at + 1];
    const auto& last = window_.slices.back().segment(window_.slices.back().count - 1);
    const bool time_jump =
        next.has_own_date_time && last.date_time_us != no_date_time && !next.discontinuity &&
        !is_near(next.date_time_us, last.date_time_us + last.duration.count(), last.duration);
    append(update, *at + 1, (!same_rung || time_jump) && !next.discontinuity);
    if (media.type != "EVENT")
      trim(media.segments.size());
    return {time_jump ? ContinuityResult::Step::skipped : ContinuityResult::Step::continued, Duration(0)};
  }
  switch (position_of(update)) {
    case Position::behind:
      return unchanged();
    case Position::ahead: {
      // Starts with the first segment that was not shown; earlier ones stay as they were shown.
      const auto& last = window_.slices.back().segment(window_.slices.back().count - 1);
      std::uint32_t from = 0;
      while (from < media.segments.size() && last.date_time_us != no_date_time &&
             media.segments[from].date_time_us != no_date_time &&
             media.segments[from].date_time_us < last.date_time_us + half(last.duration))
        ++from;
      if (from == media.segments.size())
        return unchanged();
      last_progress_at_ = now;
      const auto& next = media.segments[from];
      // An update that lacks only the last segment shown continues without a discontinuity.
      const bool is_contiguous =
          same_rung && last.date_time_us != no_date_time && next.date_time_us != no_date_time &&
          is_near(next.date_time_us, last.date_time_us + last.duration.count(), last.duration);
      append(update, from, !is_contiguous && !next.discontinuity);
      if (media.type != "EVENT")
        trim(media.segments.size());
      return {is_contiguous ? ContinuityResult::Step::continued : ContinuityResult::Step::skipped,
              Duration(0)};
    }
    case Position::unknown:
      break;
  }
  last_progress_at_ = now;
  const auto count = static_cast<std::uint32_t>(media.segments.size());
  const auto from = count > restart_segments ? count - restart_segments : 0;
  append(update, from, !media.segments[from].discontinuity);
  if (media.type != "EVENT")
    trim(std::max<std::size_t>(media.segments.size(), restart_segments));
  return {ContinuityResult::Step::restarted, Duration(0)};
}

std::uint64_t Continuity::server_sequence(std::uint64_t shown) const {
  if (window_.slices.empty())
    return shown;
  const auto& last = window_.slices.back();
  const auto shown_end = window_.media_sequence + window_.size();
  const auto server_end = last.sequence(0) + last.count;
  // Aligned at the ends of both: players only ask for future segments by number.
  return server_end >= shown_end ? shown + (server_end - shown_end)
                                 : shown - std::min(shown, shown_end - server_end);
}

}  // namespace violettide::hls
