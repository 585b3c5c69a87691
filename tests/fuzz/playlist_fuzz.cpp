// Coverage-guided fuzz target: any input is refused or written back unchanged, parsing after an earlier
// version of the playlist gives the same result as parsing in full, and windows may start at any segment. An
// input may hold two versions of a playlist, separated by the byte 0x1e.
#include <cstdlib>
#include <cstring>

#include "hls/continuity/continuity.h"

using namespace violettide::hls;

namespace {

void require_true(bool held) {
  if (!held)
    std::abort();
}

std::shared_ptr<const MediaPlaylist> parse(const std::string& text, const MediaPlaylist* before) {
  PlaylistLimits limits;
  limits.bytes = 1 << 16;
  limits.segments = 500;
  auto read = parse_media_playlist(text, limits, {}, before);
  if (const auto* error = std::get_if<PlaylistError>(&read)) {
    require_true(!error->cause.empty());
    return nullptr;
  }
  return std::make_shared<const MediaPlaylist>(std::get<MediaPlaylist>(std::move(read)));
}

Window whole_window(const std::shared_ptr<const MediaPlaylist>& media) {
  Window window{{}, media->media_sequence, media->discontinuity_sequence, false};
  window.slices.push_back({media, 0, static_cast<std::uint32_t>(media->segments.size()), 0, 0, false});
  return window;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string input(reinterpret_cast<const char*>(data), size);
  const auto separator = input.find('\x1e');
  const auto first = input.substr(0, separator);
  const auto previous = parse(first, nullptr);
  WriteOptions options;
  options.rewrite_uri = [](const PlaylistSlice&, std::string_view uri, Tag) -> RewrittenUri {
    const auto result = resolve("/p/t/r1/index.m3u8", uri);
    if (std::holds_alternative<InvalidUri>(result))
      return RewriteError{"invalid URI"};
    if (const auto* target = std::get_if<SameServerUri>(&result))
      return target->text;
    return {};
  };
  if (previous) {
    require_true(std::get<std::string>(write_media_playlist(whole_window(previous), {})) == first);
    write_media_playlist(whole_window(previous), options);
    if (!previous->segments.empty()) {
      // With other sequence numbers and a later first segment, the output is still a playlist.
      auto window = whole_window(previous);
      window.media_sequence += 1;
      window.slices[0].first += 1;
      window.slices[0].count -= 1;
      if (window.slices[0].count > 0) {
        options.is_relocated = [](const PlaylistSlice&) { return true; };
        const auto result = write_media_playlist(window, options);
        if (const auto* text = std::get_if<std::string>(&result))
          require_true(text->starts_with("#EXTM3U"));
        options.is_relocated = {};
        options.delta_update = true;
        write_media_playlist(whole_window(previous), options);
      }
    }
  }
  if (separator != std::string::npos) {
    const auto second = input.substr(separator + 1);
    const auto full = parse(second, nullptr);
    const auto incremental = parse(second, previous.get());
    require_true(!full == !incremental);
    if (full) {
      require_true(full->segments.size() == incremental->segments.size() &&
                   full->ended == incremental->ended);
      for (std::size_t i = 0; i < full->segments.size(); ++i) {
        const auto &a = full->segments[i], &b = incremental->segments[i];
        require_true(a.lines == b.lines && a.uri == b.uri && a.date_time_us == b.date_time_us &&
                     a.byte_range_offset == b.byte_range_offset && a.gap == b.gap &&
                     full->states[a.state] == incremental->states[b.state]);
      }
      Continuity continuity;
      if (previous)
        continuity.apply(Duration(0), {previous, 1, 0});
      const auto before = continuity.window().media_sequence + continuity.window().size();
      continuity.apply(Duration(1), {incremental, 2, 1});
      if (!continuity.window().slices.empty()) {
        require_true(continuity.window().media_sequence + continuity.window().size() >= before);
        write_media_playlist(continuity.window(), options);
      }
    }
  }
  const auto multivariant = parse_multivariant_playlist(first);
  if (const auto* result = std::get_if<MultivariantPlaylist>(&multivariant)) {
    const VariantSelection all{std::vector<bool>(result->variants.size(), true),
                               std::vector<bool>(result->i_frames.size(), true)};
    write_multivariant_playlist(
        *result, all, [](std::string_view, Tag, std::size_t) { return RewrittenUri{std::string("/x")}; });
    const VariantSelection none{std::vector<bool>(result->variants.size()),
                                std::vector<bool>(result->i_frames.size())};
    write_multivariant_playlist(*result, none,
                                [](std::string_view, Tag, std::size_t) { return RewrittenUri{}; });
  }
  return 0;
}
