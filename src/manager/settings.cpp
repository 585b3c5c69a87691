#include "manager/settings.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace violettide::manager {

HolderCells holder_cells(const ManagerSettings& settings, std::string_view title) {
  const auto found = std::lower_bound(
      settings.recordings.begin(), settings.recordings.end(), title,
      [](const Recording& recording, std::string_view wanted) { return recording.title < wanted; });
  if (found != settings.recordings.end() && found->title == title)
    return found->holders;
  const auto cells = static_cast<std::uint64_t>(std::max(1, settings.policy.cells));
  const auto hash = XXH64(title.data(), title.size(), 0);
  return {static_cast<int>(hash % cells), settings.default_cell_count, std::nullopt};
}

std::variant<MediaPath, PathError> parse_media_path(const ManagerSettings& settings,
                                                    std::string_view target) {
  const auto path = target.substr(0, target.find('?'));
  std::vector<std::string> segments;
  if (path.empty() || path[0] != '/')
    return PathError{"expected /PLAN/TITLE/rN/OBJECT"};
  for (std::size_t from = 1; from <= path.size();) {
    const auto end = std::min(path.find('/', from), path.size());
    const auto segment = http::percent_decode(path.substr(from, end - from));
    if (!segment)
      return PathError{"malformed percent-encoding"};
    // Guards against a name that a box would resolve to another path than the one decided on.
    if (segment->empty() || *segment == "." || *segment == ".." || segment->find('/') != std::string::npos ||
        std::any_of(segment->begin(), segment->end(),
                    [](char c) { return static_cast<unsigned char>(c) < 0x21; }))
      return PathError{"a path segment is empty, a dot segment, or has a slash, space or control character"};
    segments.push_back(*segment);
    from = end + 1;
  }
  if (segments.size() != 4)
    return PathError{"expected /PLAN/TITLE/rN/OBJECT"};
  MediaPath media;
  const auto plan = std::find_if(settings.plans.begin(), settings.plans.end(),
                                 [&](const Plan& p) { return p.name == segments[0]; });
  if (plan == settings.plans.end())
    return PathError{"unknown plan"};
  media.plan = static_cast<int>(plan - settings.plans.begin());
  media.title = segments[1];
  const auto& rung = segments[2];
  const auto [end_of_number, error] = std::from_chars(rung.data() + 1, rung.data() + rung.size(), media.rung);
  if (rung[0] != 'r' || error != std::errc{} || end_of_number != rung.data() + rung.size() || media.rung < 0)
    return PathError{"expected a rung such as r2 in the third path segment"};
  media.object = segments[3];
  return media;
}

std::string format_media_path(const ManagerSettings& settings, const MediaPath& path, int rung) {
  return "/" + http::percent_encode(settings.plans[path.plan].name) + "/" + http::percent_encode(path.title) +
         "/r" + std::to_string(rung) + "/" + http::percent_encode(path.object);
}

}  // namespace violettide::manager
