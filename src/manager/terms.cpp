#include "manager/terms.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace violettide::manager {

Holders holders_of(const FrontTerms& terms, std::string_view title) {
  const auto found = std::lower_bound(terms.recordings.begin(), terms.recordings.end(), title,
                                      [](const Recording& r, std::string_view t) { return r.title < t; });
  if (found != terms.recordings.end() && found->title == title)
    return found->holders;
  const auto cells = static_cast<std::uint64_t>(std::max(1, terms.site.cells));
  const auto hash = XXH64(title.data(), title.size(), 0);
  return {static_cast<int>(hash % cells), terms.copies, std::nullopt};
}

std::variant<MediaPath, PathFault> read_path(const FrontTerms& terms, std::string_view target) {
  const auto path = target.substr(0, target.find('?'));
  std::vector<std::string> parts;
  if (path.empty() || path[0] != '/')
    return PathFault{"expected /PLAN/TITLE/rN/OBJECT"};
  for (std::size_t from = 1; from <= path.size();) {
    const auto end = std::min(path.find('/', from), path.size());
    const auto part = http::percent_decode(path.substr(from, end - from));
    if (!part)
      return PathFault{"malformed percent-encoding"};
    // Guards against a name that a box would read as another place than the one decided on.
    if (part->empty() || *part == "." || *part == ".." || part->find('/') != std::string::npos ||
        std::any_of(part->begin(), part->end(), [](char c) { return static_cast<unsigned char>(c) < 0x21; }))
      return PathFault{"an empty or misleading part of the path"};
    parts.push_back(*part);
    from = end + 1;
  }
  if (parts.size() != 4)
    return PathFault{"expected /PLAN/TITLE/rN/OBJECT"};
  MediaPath media;
  const auto plan =
      std::find_if(terms.plans.begin(), terms.plans.end(), [&](const Plan& p) { return p.name == parts[0]; });
  if (plan == terms.plans.end())
    return PathFault{"no plan of that name"};
  media.plan = static_cast<int>(plan - terms.plans.begin());
  media.title = parts[1];
  const auto& rung = parts[2];
  const auto [stop, error] = std::from_chars(rung.data() + 1, rung.data() + rung.size(), media.rung);
  if (rung[0] != 'r' || error != std::errc{} || stop != rung.data() + rung.size() || media.rung < 0)
    return PathFault{"expected a rung such as r2"};
  media.object = parts[3];
  return media;
}

std::string path_text(const FrontTerms& terms, const MediaPath& path, int rung) {
  return "/" + http::percent_encode(terms.plans[path.plan].name) + "/" + http::percent_encode(path.title) +
         "/r" + std::to_string(rung) + "/" + http::percent_encode(path.object);
}

}  // namespace violettide::manager
