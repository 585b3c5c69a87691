// Coverage-guided: any bytes are a fault or playlists that go out as they came, read on as they are read
// whole, and cut anywhere without a crash. An input may hold two readings of one list, parted by a 0x1e.
#include <cstdlib>
#include <cstring>

#include "hls/continuity/continuity.h"

using namespace violettide::hls;

namespace {

void must(bool held) {
  if (!held)
    std::abort();
}

std::shared_ptr<const Media> media_of(const std::string& text, const Media* before) {
  Limits limits;
  limits.bytes = 1 << 16;
  limits.segments = 500;
  auto read = read_media(text, limits, {}, before);
  if (const auto* fault = std::get_if<Fault>(&read)) {
    must(!fault->cause.empty());
    return nullptr;
  }
  return std::make_shared<const Media>(std::get<Media>(std::move(read)));
}

Window whole(const std::shared_ptr<const Media>& media) {
  Window window{{}, media->media_sequence, media->discontinuity_sequence, false};
  window.pieces.push_back({media, 0, static_cast<std::uint32_t>(media->segments.size()), 0, 0, false});
  return window;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string input(reinterpret_cast<const char*>(data), size);
  const auto part = input.find('\x1e');
  const auto first = input.substr(0, part);
  const auto one = media_of(first, nullptr);
  WriteTerms terms;
  terms.address = [](const Piece&, std::string_view uri, Tag) -> Address {
    const auto made = resolve("/p/t/r1/index.m3u8", uri);
    if (std::holds_alternative<Unreadable>(made))
      return NoAddress{"unreadable"};
    if (const auto* target = std::get_if<Target>(&made))
      return target->text;
    return {};
  };
  if (one) {
    must(std::get<std::string>(write_window(whole(one), {})) == first);
    write_window(whole(one), terms);
    if (!one->segments.empty()) {
      // Numbered anew and begun later, it is still a playlist.
      auto cut = whole(one);
      cut.media_sequence += 1;
      cut.pieces[0].first += 1;
      cut.pieces[0].count -= 1;
      if (cut.pieces[0].count > 0) {
        terms.moved = [](const Piece&) { return true; };
        const auto made = write_window(cut, terms);
        if (const auto* text = std::get_if<std::string>(&made))
          must(text->starts_with("#EXTM3U"));
        terms.moved = {};
        terms.delta = true;
        write_window(whole(one), terms);
      }
    }
  }
  if (part != std::string::npos) {
    const auto second = input.substr(part + 1);
    const auto plain = media_of(second, nullptr);
    const auto read_on = media_of(second, one.get());
    must(!plain == !read_on);
    if (plain) {
      must(plain->segments.size() == read_on->segments.size() && plain->ended == read_on->ended);
      for (std::size_t i = 0; i < plain->segments.size(); ++i) {
        const auto &a = plain->segments[i], &b = read_on->segments[i];
        must(a.lines == b.lines && a.uri == b.uri && a.wall == b.wall && a.range_offset == b.range_offset &&
             a.gap == b.gap && plain->states[a.state] == read_on->states[b.state]);
      }
      Continuity course;
      if (one)
        course.take(Duration(0), {one, 1, 0});
      const auto before = course.window().media_sequence + course.window().size();
      course.take(Duration(1), {read_on, 2, 1});
      if (!course.window().pieces.empty()) {
        must(course.window().media_sequence + course.window().size() >= before);
        write_window(course.window(), terms);
      }
    }
  }
  const auto lists = read_multivariant(first);
  if (const auto* made = std::get_if<Multivariant>(&lists)) {
    const Shown all{std::vector<bool>(made->variants.size(), true),
                    std::vector<bool>(made->i_frames.size(), true)};
    write_multivariant(*made, all,
                       [](std::string_view, Tag, std::size_t) { return Address{std::string("/x")}; });
    const Shown none{std::vector<bool>(made->variants.size()), std::vector<bool>(made->i_frames.size())};
    write_multivariant(*made, none, [](std::string_view, Tag, std::size_t) { return Address{}; });
  }
  return 0;
}
