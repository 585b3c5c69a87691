// The second front: playbacks read by HLS playlists. What a playback is, where it goes and what its mishaps
// mean is the manager's as ever; here a playlist request becomes one of its requests, and a box's playlist
// one for the viewer.
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "gzip/gzip.h"
#include "manager/inside.h"

namespace violettide::manager {

namespace {

constexpr std::string_view pass_path = "/~/";
constexpr std::string_view steering_name = "steering.json";
constexpr std::size_t worth_packing = 1024;
constexpr double kbit_per_kb = 8;
constexpr int stands_for = 3;     // target durations without news, to be told
constexpr int steering_asks = 3;  // times within a silence

std::string_view file_of(std::string_view target) {
  const auto path = target.substr(0, target.find('?'));
  return path.substr(path.rfind('/') + 1);
}

// The query less what is said to this front and not to the box.
std::string query_for_box(std::string_view query) {
  std::string kept;
  for (std::size_t from = 0; from < query.size();) {
    const auto end = std::min(query.find('&', from), query.size());
    const auto one = query.substr(from, end - from);
    from = end + 1;
    if (one.empty() || one.starts_with("CMCD=") || one.starts_with("_HLS_") ||
        one.starts_with("access_token=") || one.starts_with("CTA-Common-Access-Token="))
      continue;
    if (!kept.empty())
      kept += '&';
    kept += one;
  }
  return kept;
}

std::optional<std::string_view> argument(std::string_view query, std::string_view name) {
  for (std::size_t from = 0; from < query.size();) {
    const auto end = std::min(query.find('&', from), query.size());
    const auto one = query.substr(from, end - from);
    from = end + 1;
    if (one.size() > name.size() && one.starts_with(name) && one[name.size()] == '=')
      return one.substr(name.size() + 1);
  }
  return std::nullopt;
}

// What EXT-X-DEFINE may take: of the multivariant playlist, and of the address's query.
hls::Variables with_query(hls::Variables variables, std::string_view target) {
  const auto from = target.find('?');
  for (auto at = from; at != std::string_view::npos;) {
    const auto end = target.find('&', at + 1);
    const auto one = target.substr(at + 1, end == std::string_view::npos ? end : end - at - 1);
    const auto equals = one.find('=');
    if (equals != std::string_view::npos) {
      if (auto value = http::percent_decode(one.substr(equals + 1)))
        variables.insert_or_assign(std::string(one.substr(0, equals)), std::move(*value));
    }
    at = end;
  }
  return variables;
}

std::string more(std::string_view target, const std::string& query) {
  std::string made(target);
  if (!query.empty())
    made.append(target.find('?') == std::string_view::npos ? "?" : "&").append(query);
  return made;
}

}  // namespace

// ---- what a request is for ----

Manager::Read Manager::read_hls(ViewerLink& viewer) {
  const std::string_view target = viewer.request.target;
  const auto path = target.substr(0, target.find('?'));
  const auto query = path.size() < target.size() ? target.substr(path.size() + 1) : std::string_view();
  if (path.starts_with(pass_path))
    return read_pass(viewer, path.substr(pass_path.size()), query);
  // `/PLAN/TITLE/NAME.m3u8`: where a playback begins.
  if (!path.ends_with(".m3u8") || std::count(path.begin(), path.end(), '/') != 3)
    return Read::other;
  const auto slash = path.rfind('/');
  // Read as an object's path would be, the rung left out.
  auto read = read_path(terms_, std::string(path.substr(0, slash)) + "/r0" + std::string(path.substr(slash)));
  if (const auto* fault = std::get_if<PathFault>(&read)) {
    answer(viewer, 404, fault->cause + "\n");
    return Read::answered;
  }
  viewer.path = std::move(std::get<MediaPath>(read));
  viewer.wants = ViewerLink::Wants::lists;
  viewer.place =
      more("/" + http::percent_encode(terms_.plans[viewer.path.plan].name) + "/" +
               http::percent_encode(viewer.path.title) + "/" + http::percent_encode(viewer.path.object),
           query_for_box(query));
  viewer.pass = {};
  // Players that say no session id get one: it goes with their addresses, not with their connection.
  if (!viewer.hints.cmcd.session_id)
    viewer.hints.cmcd.session_id =
        terms_.name + "-" + std::to_string(wall().count()) + "-" + std::to_string(++sids_);
  return Read::taken;
}

Manager::Read Manager::read_pass(ViewerLink& viewer, std::string_view path, std::string_view query) {
  const auto refused = [&](int status, const std::string& cause) {
    say("address_refused", {{"cause", cause}});
    answer(viewer, status, cause + "\n");
    return Read::answered;
  };
  const auto slash = path.find('/');
  if (slash == std::string_view::npos)
    return refused(404, "no address of this front");
  auto read = keys_.verify(wall(), path.substr(0, slash));
  viewer.pass_expired = false;
  if (auto* no = std::get_if<signed_url::InvalidToken>(&read)) {
    if (no->error != signed_url::TokenError::expired)
      return refused(403, "this address was not given out by this service");
    viewer.pass_expired = true;
    viewer.pass = std::move(*no->claims);
  } else {
    viewer.pass = std::move(std::get<signed_url::Claims>(read));
  }
  const auto& pass = viewer.pass;
  // Guards against a pass of other settings: the numbers in it are places in these.
  if (pass.plan >= static_cast<int>(terms_.plans.size()) ||
      pass.rung >= static_cast<int>(terms_.site.rung_kb.size()))
    return refused(403, "this address is of another deployment");
  const auto tail = path.substr(slash + 1);
  viewer.path = {pass.plan, pass.title, pass.rung, std::string(tail)};
  viewer.hints.cmcd.session_id = pass.sid;
  if (pass.scope == signed_url::Claims::Scope::steering) {
    viewer.wants = ViewerLink::Wants::steering;
    if (const auto told = argument(query, "_HLS_throughput")) {
      // Bits a second, as the steering server is told (draft, 7.1).
      if (const auto bits = hls::parse_integer(*told))
        viewer.hints.cmcd.measured_throughput =
            static_cast<std::int64_t>(std::min<std::uint64_t>(*bits, 1ull << 50) / 1000);
    }
    return Read::taken;
  }
  if (pass.scope == signed_url::Claims::Scope::multivariant) {
    viewer.wants = ViewerLink::Wants::lists;
    viewer.place = pass.path;
    return Read::taken;
  }
  if (pass.scope == signed_url::Claims::Scope::resource) {
    viewer.wants = ViewerLink::Wants::segment;
    viewer.place = pass.path;
    return Read::taken;
  }
  if (tail == file_of(pass.path)) {
    viewer.wants = ViewerLink::Wants::media_list;
    viewer.place = pass.path;
    viewer.delta = argument(query, "_HLS_skip").has_value();
    if (const auto number = argument(query, "_HLS_msn")) {
      const auto asked = hls::parse_integer(*number);
      if (!asked)
        return refused(400, "_HLS_msn takes a media sequence number");
      viewer.blocks = true;
      auto there = *asked;
      // The player counts as this front does; the box as it does itself.
      const auto known = by_key_.find(key_of(pass.plan, pass.title, "s" + pass.sid));
      if (known != by_key_.end() && playbacks_.at(known->second)->hls) {
        auto& readers = playbacks_.at(known->second)->hls->readers;
        if (const auto reader = readers.find(pass.player); reader != readers.end()) {
          if (const auto course = reader->second.courses.find(pass.path);
              course != reader->second.courses.end())
            there = course->second.server_sequence(there);
        }
      }
      std::string directives = "_HLS_msn=" + std::to_string(there);
      if (const auto part = argument(query, "_HLS_part"); part && hls::parse_integer(*part))
        directives += "&_HLS_part=" + std::string(*part);
      viewer.place = more(viewer.place, directives);
    }
    return Read::taken;
  }
  // Something in the rendition's directory; a name that leads out of it has another's address, or none.
  if (pass.shared_directory)
    return refused(403, "this address is not of that segment");
  const auto directory = hls::directory_of(pass.path);
  const auto resolved = hls::resolve(directory, tail);
  const auto* place = std::get_if<hls::SameServerUri>(&resolved);
  if (!place || !place->text.starts_with(directory) || place->text.size() == directory.size())
    return refused(403, "this address is not of that segment");
  viewer.wants = ViewerLink::Wants::segment;
  viewer.place = more(place->text, query_for_box(query));
  return Read::taken;
}

// An address of a playback that is not known here: it is adopted, begun anew or answered at once, and then
// false.
bool Manager::adopt(ViewerLink& viewer) {
  const auto& pass = viewer.pass;
  const auto key = key_of(pass.plan, pass.title, "s" + pass.sid);
  if (by_key_.contains(key))
    return true;
  const auto& plan = terms_.site.plans[pass.plan];
  hls::OrphanedRequest orphan;
  using Resource = hls::OrphanedRequest::Resource;
  orphan.resource = viewer.wants == ViewerLink::Wants::steering     ? Resource::steering
                    : viewer.wants == ViewerLink::Wants::media_list ? Resource::media_playlist
                                                                    : Resource::segment;
  orphan.expired = viewer.pass_expired;
  orphan.paid_at_setup = plan.pay_at_setup;
  orphan.counted_seats = plan.seats > 0 || ledger_ != nullptr;
  orphan.ended = departures_.find(now_, key);
  const auto server = list_.find(pass.box);
  orphan.server_ready = server && list_.box(*server).state == ServerState::ready;
  const auto verdict = hls::judge_orphaned_request(now_, orphan);
  if (const auto* over = std::get_if<hls::Gone>(&verdict)) {
    say("address_orphaned", {{"sid", pass.sid}, {"cause", over->cause}});
    answer(viewer, 410, over->cause + "\n");
    return false;
  }
  if (const auto* later = std::get_if<hls::RetryLater>(&verdict)) {
    const auto whole = std::max<std::int64_t>(1, (later->after.count() + 999'999) / 1'000'000);
    answer(viewer, 503, "rejected: no box has room\n", {{"Retry-After", std::to_string(whole)}});
    return false;
  }
  if (std::holds_alternative<hls::StartAnew>(verdict))
    return true;
  auto& playback = admit(viewer);
  playback.asked_at = now_;
  hls_side(playback);
  const auto request = request_for(playback, viewer);
  if (!request) {
    answer(viewer, 404, "no recording of that title\n");
    return false;
  }
  playback.playing = true;
  playback.server = *server;
  // What its address says it was shown, until the module says otherwise.
  playback.rung = std::max(plan.floor, pass.rung);
  playback.hls->showing.handle(now_, hls::RungDecided{playback.rung});
  if (playback.recording) {
    if (auto asking = asking_.find(*playback.recording); asking != asking_.end())
      asking->second.erase(playback.id);
  }
  say("playback_carried_over", {{"playback", said_id(playback.id)},
                                {"sid", playback.sid},
                                {"title", playback.title},
                                {"box", pass.box}});
  tell(PlaybackAdopted{*request, *server});
  return true;
}

// ---- what players go on from ----

void Manager::hls_side(Playback& playback) {
  if (playback.hls)
    return;
  if (const auto kept = parted_.find(playback.key); kept != parted_.end()) {
    playback.hls = std::move(kept->second);
    parted_.erase(kept);
    departures_.forget(playback.key);
  } else {
    playback.hls = std::make_unique<HlsSide>(terms_.hls.show, terms_.site.plans[playback.plan].floor);
  }
  // Before it plays the module's word is still to come.
  if (playback.playing)
    playback.hls->showing.handle(now_, hls::RungDecided{playback.rung});
}

// The playback is over here, but its player may not know: its numbers and its address are remembered.
void Manager::part(Playback& playback, hls::EndReason how, Duration come_back) {
  if (!playback.hls)
    return;
  departures_.record(now_, playback.key, how, come_back);
  if (!playback.token.empty())
    playback.hls->token = playback.token;
  while (parted_order_.size() >= terms_.hls.parted_kept) {
    parted_.erase(parted_order_.front());
    parted_order_.pop_front();
  }
  parted_[playback.key] = std::move(playback.hls);
  parted_order_.push_back(playback.key);
}

// ---- asking boxes ----

// What is asked of the box, and on the link what is to be known of it.
std::string Manager::box_target(ViewerLink& viewer, Playback& playback, BoxLink& link) {
  using Wants = ViewerLink::Wants;
  link.collects = viewer.wants == Wants::lists || viewer.wants == Wants::media_list;
  link.off_ladder = link.collects || (viewer.wants == Wants::segment && viewer.pass.off_ladder);
  if (viewer.wants == Wants::object) {
    link.rung = rung_for(playback, viewer.path.rung);
    return path_text(terms_, viewer.path, link.rung);
  }
  link.rung = viewer.wants == Wants::segment ? viewer.pass.rung : playback.rung;
  if (viewer.wants == Wants::media_list) {
    viewer.fill_rung = viewer.pass.rung;
    if (!viewer.pass.off_ladder && playback.hls) {
      const auto verdict = playback.hls->showing.handle(now_, hls::MediaPlaylistRequested{viewer.pass.rung});
      const int rung = std::get<hls::UseRung>(verdict).rung;
      if (const auto found = playback.hls->lists.find(rung);
          rung != viewer.pass.rung && found != playback.hls->lists.end()) {
        viewer.fill_rung = rung;
        link.target = found->second;
        return found->second;
      }
    }
    link.target = viewer.pass.path;
    return viewer.place;
  }
  link.target = viewer.place;
  return viewer.place;
}

// False where the request of a playing playback is answered without a box.
bool Manager::steer(ViewerLink& viewer, Playback& playback) {
  using Wants = ViewerLink::Wants;
  auto& side = *playback.hls;
  auto& readers = side.readers;
  const auto told = viewer.hints.cmcd.buffer_length;
  const Duration buffer = std::chrono::milliseconds(std::clamp<std::int64_t>(told.value_or(0), 0, 600'000));
  if (viewer.wants == Wants::lists && !readers.contains(viewer.pass.player)) {
    std::erase_if(readers,
                  [&](const auto& entry) { return now_ - entry.second.seen > side.showing.idle_timeout(); });
    // Guards against one session id, and its one seat, being shared by players without end.
    if (readers.size() >= static_cast<std::size_t>(terms_.hls.most_readers)) {
      say("readers_too_many", {{"playback", said_id(playback.id)}});
      viewer.playback.reset();
      answer(viewer, 503, "too many players share this session id\n", come_back_soon());
      return false;
    }
    return true;
  }
  if (viewer.wants == Wants::lists)
    return true;
  if (!readers.contains(viewer.pass.player) &&
      readers.size() >= 2 * static_cast<std::size_t>(terms_.hls.most_readers)) {
    readers.erase(std::min_element(readers.begin(), readers.end(),
                                   [](auto& a, auto& b) { return a.second.seen < b.second.seen; }));
  }
  readers[viewer.pass.player].seen = now_;
  side.next_reader = std::max(side.next_reader, viewer.pass.player % 250 + 1);
  if (viewer.wants == Wants::steering) {
    viewer.playback.reset();
    rest(playback);
    const nlohmann::ordered_json manifest{
        {"VERSION", 1},
        {"TTL", std::max<std::int64_t>(1, side.showing.idle_timeout().count() / 1'000'000 / steering_asks)},
        {"PATHWAY-PRIORITY", {"."}}};
    answer(viewer, 200, manifest.dump() + "\n",
           {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}});
    return false;
  }
  if (viewer.wants != Wants::segment || viewer.pass.off_ladder)
    return true;
  const auto verdict = side.showing.handle(now_, hls::SegmentRequested{viewer.pass.rung, buffer});
  const auto* high = std::get_if<hls::RungTooHigh>(&verdict);
  if (!high)
    return true;
  say("segment_too_high", {{"playback", said_id(playback.id)},
                           {"rung", std::int64_t{viewer.pass.rung}},
                           {"shown", std::int64_t{high->rung}}});
  hints::CmsdDynamic own;
  own.server = terms_.name;
  own.max_suggested_bitrate = std::llround(rate_kb(playback, high->rung) * kbit_per_kb);
  viewer.playback.reset();
  rest(playback);
  answer(viewer, 404, "this rendition is not listed any more\n",
         {{"CMSD-Dynamic", hints::serialize_cmsd_entry(own)}, {"Cache-Control", "no-store"}});
  return false;
}

// ---- a box's playlist ----

void Manager::collect(BoxLink& link, http::ResponseParser::Part& part) {
  if (part.head)
    link.coding = http::combined_value(part.head->fields, "Content-Encoding");
  link.body += part.body;
  // Guards against a box that never ends its playlist.
  if (link.body.size() > terms_.hls.playlists.bytes) {
    link.keep_alive = false;
    return list_unusable(link, "more than " + std::to_string(terms_.hls.playlists.bytes) + " bytes");
  }
  if (part.done)
    list_whole(link);
}

void Manager::list_unusable(BoxLink& link, const std::string& cause) {
  say("playlist_malformed",
      {{"box", list_.box(link.server).name}, {"target", link.target}, {"cause", cause}});
  const bool whole = link.keep_alive;
  if (link.use != Use::set_up)
    return box_failed(link, Outcome::error);
  const ConnectionId id = link.link;
  try_failed(link, Outcome::error, {{"cause", cause}});
  if (boxes_.contains(id) && whole)
    release(link, true);
}

void Manager::list_whole(BoxLink& link) {
  auto text = std::move(link.body);
  link.body.clear();
  if (!link.coding.empty() && link.coding != "identity") {
    auto plain = link.coding == "gzip" || link.coding == "x-gzip"
                     ? gzip::decompress(text, terms_.hls.playlists.bytes)
                     : std::nullopt;
    if (!plain)
      return list_unusable(link, "a body that is no " + link.coding + " within the limits");
    text = std::move(*plain);
  }
  const auto found = playbacks_.find(*link.playback);
  if (found == playbacks_.end())
    return hang_box(link.link);
  auto& playback = *found->second;
  // The viewer it was asked for; if it left meanwhile, the playlist proves the set-up all the same.
  const auto first = viewers_.find(link.viewer);
  auto* viewer = first == viewers_.end() ? nullptr : first->second.get();
  std::variant<std::string, hls::PlaylistError> made;
  if (!viewer)
    made = std::string();
  else if (viewer->wants == ViewerLink::Wants::lists)
    made = lists_text(*viewer, playback, link.target, std::move(text));
  else
    made = media_text(*viewer, playback, link.server, link.target, std::move(text));
  if (const auto* fault = std::get_if<hls::PlaylistError>(&made))
    return list_unusable(link, fault->text());
  if (link.use == Use::set_up)
    try_ran(link, nullptr);
  if (playback.objects_out > 0)
    --playback.objects_out;
  rest(playback);
  const ConnectionId waiting = link.viewer;
  release(link, true);
  if (const auto still = viewers_.find(waiting); still != viewers_.end())
    answer_list(*still->second, playback, std::get<std::string>(made));
}

void Manager::answer_list(ViewerLink& viewer, const Playback& playback, const std::string& text) {
  hints::CmsdDynamic own;
  own.server = terms_.name;
  own.response_delay = (now_ - viewer.asked_at).count() / 1000;
  own.max_suggested_bitrate = std::llround(rate_kb(playback, playback.hls->showing.listed()) * kbit_per_kb);
  http::Fields fields{{"Content-Type", "application/vnd.apple.mpegurl"},
                      {"Cache-Control", "no-store"},
                      {"Vary", "Accept-Encoding"},
                      {"Via", "1.1 " + terms_.name},
                      {"CMSD-Dynamic", hints::serialize_cmsd_entry(own)}};
  const bool pack = text.size() >= worth_packing &&
                    gzip::is_accepted(http::combined_value(viewer.request.fields, "Accept-Encoding"));
  if (pack)
    fields.emplace_back("Content-Encoding", "gzip");
  if (viewer.wants == ViewerLink::Wants::lists) {
    // Read again there, it is known to be the same player; CMSD's mb tells when that is worth it.
    auto pass = viewer.pass;
    pass.scope = signed_url::Claims::Scope::multivariant;
    pass.plan = playback.plan;
    pass.title = playback.title;
    pass.sid = playback.sid;
    pass.box = list_.box(playback.server).name;
    pass.path = viewer.place;
    fields.emplace_back("Content-Location", address(std::move(pass)));
  }
  const auto body = pack ? gzip::compress(text) : text;
  viewer.box = 0;  // its link is free: what this viewer is slow to read must not hold another's
  send_to_viewer(viewer, http::serialize_response_head(200, fields, body.size(), !viewer.close_after) + body);
  done_with(viewer);
}

// ---- the multivariant playlist ----

// The ladder's rung whose rate is nearest by ratio.
int Manager::rung_of(const Playback& playback, std::uint64_t bandwidth) const {
  int best = 0;
  double least = 0;
  for (int rung = 0; rung < static_cast<int>(terms_.site.rung_kb.size()); ++rung) {
    const double bits = rate_kb(playback, rung) * 1000 * kbit_per_kb;
    const double off = std::fabs(std::log(std::max(1.0, static_cast<double>(bandwidth)) / bits));
    if (rung == 0 || off < least)
      best = rung, least = off;
  }
  return best;
}

std::string Manager::rendition_address(const ViewerLink& viewer, const Playback& playback, int rung,
                                       bool steady, bool flat, const std::string& place) {
  auto pass = viewer.pass;
  pass.scope = signed_url::Claims::Scope::rendition;
  pass.shared_directory = flat;
  pass.off_ladder = steady;
  pass.plan = playback.plan;
  pass.rung = rung;
  pass.title = playback.title;
  pass.sid = playback.sid;
  if (pass.box.empty())
    pass.box = list_.box(playback.server).name;
  pass.path = place;
  return address(std::move(pass));
}

std::variant<std::string, hls::PlaylistError> Manager::lists_text(ViewerLink& viewer, Playback& playback,
                                                                  const std::string& target,
                                                                  std::string text) {
  auto& side = *playback.hls;
  auto read = hls::parse_multivariant_playlist(std::move(text), terms_.hls.playlists, with_query({}, target));
  if (const auto* fault = std::get_if<hls::PlaylistError>(&read))
    return *fault;
  const auto& lists = std::get<hls::MultivariantPlaylist>(read);
  // Where each playlist lies; those whose directory holds another's give no right to all that is in it.
  struct Placed {
    std::string place;
    bool flat = false;
  };
  std::map<std::string, Placed, std::less<>> places;  // by URI as written
  const auto place_of = [&](std::string_view uri) -> std::optional<hls::PlaylistError> {
    if (places.contains(uri))
      return std::nullopt;
    const auto plain = hls::substitute_variables(uri, lists.variables);
    const auto resolved = plain ? hls::resolve(target, *plain) : hls::InvalidUri{};
    const auto* at = std::get_if<hls::SameServerUri>(&resolved);
    if (!at)
      return hls::PlaylistError{0, "a rendition that is not at this box: " + std::string(uri)};
    places[std::string(uri)] = {at->text, false};
    return std::nullopt;
  };
  for (const auto& variant : lists.variants) {
    if (auto fault = place_of(variant.uri.view_in(lists.text)))
      return *fault;
  }
  for (const auto& rendition : lists.renditions) {
    if (rendition.uri.from == rendition.uri.to)
      continue;
    if (auto fault = place_of(rendition.uri.view_in(lists.text)))
      return *fault;
  }
  for (const auto& frames : lists.i_frames) {
    if (auto fault = place_of(frames.uri.view_in(lists.text)))
      return *fault;
  }
  std::vector<std::pair<std::string, Placed*>> directories;
  for (auto& [uri, placed] : places)
    directories.emplace_back(hls::directory_of(placed.place), &placed);
  std::sort(directories.begin(), directories.end());
  for (std::size_t i = 0; i + 1 < directories.size(); ++i) {
    if (!directories[i + 1].first.starts_with(directories[i].first))
      continue;
    directories[i].second->flat = true;
    if (directories[i + 1].first == directories[i].first)
      directories[i + 1].second->flat = true;
  }
  const auto verdict = side.showing.handle(now_, hls::MultivariantRequested{});
  const auto range = std::get<hls::ListRungs>(verdict);
  const auto pathway =
      !lists.initial_pathway.empty() ? lists.initial_pathway : lists.variants.front().pathway;
  std::vector<int> rungs;
  int above = -1;  // where the box has none that may be shown: the least above the floor
  bool some = false;
  for (const auto& variant : lists.variants) {
    const int rung =
        rung_of(playback, variant.average_bandwidth ? variant.average_bandwidth : variant.bandwidth);
    rungs.push_back(rung);
    if (variant.pathway != pathway)
      continue;
    some = some || (rung >= range.low && rung <= range.high);
    if (rung >= range.low && (above < 0 || rung < above))
      above = rung;
  }
  if (!some && above < 0)
    return hls::PlaylistError{0, "no variant that the plan may play"};
  const int low = range.low, high = some ? range.high : above;
  hls::VariantSelection shown;
  std::uint64_t widest = 0;
  side.lists.clear();
  side.flat.clear();
  for (std::size_t i = 0; i < lists.variants.size(); ++i) {
    const auto& variant = lists.variants[i];
    const auto& placed = places.find(variant.uri.view_in(lists.text))->second;
    const bool show = rungs[i] >= low && rungs[i] <= high && variant.pathway == pathway;
    shown.variants.push_back(show);
    if (show)
      widest = std::max(widest, variant.bandwidth);
    if (variant.pathway != pathway || rungs[i] < low)
      continue;
    side.lists.emplace(rungs[i], placed.place);
    side.flat.emplace(rungs[i], placed.flat);
  }
  for (const auto& frames : lists.i_frames)
    shown.i_frames.push_back(frames.bandwidth <= widest && frames.pathway == pathway);
  side.variables = lists.variables;
  if (viewer.pass.player == 0)
    viewer.pass.player = std::exchange(side.next_reader, side.next_reader % 250 + 1);
  side.readers[viewer.pass.player].seen = now_;
  // Given out now, whatever address the lists were read at.
  viewer.pass.expires = Duration(0);
  viewer.pass.box.clear();
  const auto address_for = [&](std::string_view uri, hls::Tag of, std::size_t index) -> hls::RewrittenUri {
    if (of == hls::Tag::session_data || of == hls::Tag::session_key)
      return address_of(viewer, playback, playback.server, 0, target, lists.variables, uri, of);
    const auto& placed = places.find(uri)->second;
    const bool variant = of == hls::Tag::stream_inf;
    return rendition_address(viewer, playback, variant ? rungs[index] : 0, !variant, placed.flat,
                             placed.place);
  };
  std::string own;
  if (terms_.hls.direct) {
    signed_url::Claims pass;
    pass.scope = signed_url::Claims::Scope::steering;
    pass.plan = playback.plan;
    pass.player = viewer.pass.player;
    pass.title = playback.title;
    pass.sid = playback.sid;
    pass.box = list_.box(playback.server).name;
    own = "#EXT-X-CONTENT-STEERING:SERVER-URI=\"" + std::string(pass_path) + keys_.sign(wall(), pass) + "/" +
          std::string(steering_name) + "\"\n";
  }
  return hls::write_multivariant_playlist(lists, shown, address_for, own);
}

// ---- media playlists ----

// As the box had it, read once for all who ask: what has not changed since is not read again.
std::variant<std::shared_ptr<const hls::MediaPlaylist>, hls::PlaylistError> Manager::read_list(
    ServerId server, const std::string& target, std::string text, const hls::Variables& variables) {
  const std::pair at(server, target);
  auto& kept = lists_read_[at];
  const auto used = [&] {
    if (kept.used)
      lists_used_.erase(kept.used);
    kept.used = ++list_uses_;
    lists_used_[kept.used] = at;
  };
  if (kept.media && kept.media->text == text) {
    used();
    return kept.media;
  }
  auto read = hls::parse_media_playlist(std::move(text), terms_.hls.playlists, variables, kept.media.get());
  if (auto* fault = std::get_if<hls::PlaylistError>(&read)) {
    if (!kept.media)
      lists_read_.erase(at);
    return *fault;
  }
  const auto weight = [](const hls::MediaPlaylist& media) {
    return media.text.size() + media.segments.size() * sizeof(hls::Segment);
  };
  if (kept.media)
    lists_bytes_ -= weight(*kept.media);
  kept.media = std::make_shared<const hls::MediaPlaylist>(std::get<hls::MediaPlaylist>(std::move(read)));
  lists_bytes_ += weight(*kept.media);
  auto media = kept.media;
  used();
  // Guards against the playlists of every recording ever played staying.
  while (lists_bytes_ > terms_.hls.lists_kept_bytes && lists_used_.size() > 1) {
    const auto oldest = lists_read_.find(lists_used_.begin()->second);
    lists_bytes_ -= weight(*oldest->second.media);
    lists_read_.erase(oldest);
    lists_used_.erase(lists_used_.begin());
  }
  return media;
}

// Where at the box a URI of its playlist leads; nothing: to another service, whose it stays.
hls::RewrittenUri Manager::place_at(const hls::Variables& variables, ServerId server, const std::string& base,
                                    std::string_view uri, hls::Tag of) const {
  const auto& box = list_.box(server);
  const auto plain = hls::substitute_variables(uri, variables);
  if (!plain)
    return hls::RewriteError{"a variable without a value"};
  const auto resolved = hls::resolve(base, *plain);
  if (const auto* target = std::get_if<hls::SameServerUri>(&resolved))
    return target->text;
  const auto* other = std::get_if<hls::ExternalUri>(&resolved);
  if (!other)
    return hls::RewriteError{"an address that can't be read"};
  // Keys and data of other services are theirs to give; media that lead away from the box are not.
  if (other->scheme == "http" && other->authority == box.address + ":" + std::to_string(box.port))
    return other->target;
  if (of == hls::Tag::key || of == hls::Tag::session_key || of == hls::Tag::session_data ||
      other->scheme == "data")
    return {};
  return hls::RewriteError{"an address that leads away from the box"};
}

hls::RewrittenUri Manager::address_of(const ViewerLink& viewer, const Playback& playback, ServerId server,
                                      int rung, const std::string& base, const hls::Variables& variables,
                                      std::string_view uri, hls::Tag of) {
  const auto& box = list_.box(server);
  auto placed = place_at(variables, server, base, uri, of);
  if (!std::holds_alternative<std::string>(placed))
    return placed;
  const auto place = std::get<std::string>(std::move(placed));
  if (terms_.hls.direct)
    return "http://" + box.address + ":" + std::to_string(box.port) + place;
  const bool own_rung = viewer.wants == ViewerLink::Wants::media_list && rung == viewer.pass.rung;
  const auto directory = hls::directory_of(base);
  if (own_rung && !viewer.pass.shared_directory && place.starts_with(directory) &&
      place.size() > directory.size())
    return place.substr(directory.size());
  // Signed as the playlist's own address was: what is listed once is listed the same way each time.
  auto pass = viewer.pass;
  pass.scope = signed_url::Claims::Scope::resource;
  pass.off_ladder = viewer.wants == ViewerLink::Wants::media_list && viewer.pass.off_ladder;
  pass.shared_directory = false;
  pass.plan = playback.plan;
  pass.rung = rung;
  pass.title = playback.title;
  pass.sid = playback.sid;
  pass.path = place;
  return address(pass);
}

// Signed as of now, or as the pass says that it was copied from.
std::string Manager::address(signed_url::Claims pass) {
  const Duration at = pass.expires > Duration(0) ? pass.expires - terms_.hls.passes.lifetime : wall();
  const auto name = std::string(file_of(pass.path));
  return std::string(pass_path) + keys_.sign(at, std::move(pass)) + "/" + name;
}

std::variant<std::string, hls::PlaylistError> Manager::media_text(const ViewerLink& viewer,
                                                                  Playback& playback, ServerId server,
                                                                  const std::string& target,
                                                                  std::string text) {
  auto& side = *playback.hls;
  auto read = read_list(server, target, std::move(text), with_query(side.variables, target));
  if (const auto* fault = std::get_if<hls::PlaylistError>(&read))
    return *fault;
  const auto media = std::get<std::shared_ptr<const hls::MediaPlaylist>>(read);
  side.target = media->target_duration;
  const int rung = viewer.fill_rung;
  // Guards against one bad list staying in a player's course: it is looked through before it is taken.
  for (const auto& uri : media->non_plain_uris) {
    const auto placed = place_at(media->variables, server, target, uri.range.view_in(media->text), uri.tag);
    if (const auto* none = std::get_if<hls::RewriteError>(&placed))
      return hls::error_at(media->text, uri.range.from, none->cause);
  }
  auto& courses = side.readers[viewer.pass.player].courses;
  const auto known = courses.find(viewer.pass.path);
  hls::Window whole;
  const hls::Window* window = &whole;
  // What was whole from the beginning follows nothing that was shown.
  if (media->ended && known == courses.end()) {
    whole.slices.push_back(
        {media, 0, static_cast<std::uint32_t>(media->segments.size()), server, rung, false});
    whole.media_sequence = media->media_sequence;
    whole.discontinuity_sequence = media->discontinuity_sequence;
    side.showing.handle(now_, hls::TargetDurationRead{media->target_duration, false});
  } else {
    side.showing.handle(now_, hls::TargetDurationRead{media->target_duration, true});
    const auto beside = std::find_if(courses.begin(), courses.end(),
                                     [&](const auto& other) { return other.first != viewer.pass.path; });
    const hls::Continuity* other = beside == courses.end() ? nullptr : &beside->second;
    auto& course = courses[viewer.pass.path];
    const auto went = course.apply(now_, {media, server, rung}, other);
    window = &course.window();
    if (went.step == hls::ContinuityResult::Step::unchanged &&
        went.unchanged_for > stands_for * media->target_duration)
      say("playlist_stands", {{"playback", said_id(playback.id)},
                              {"box", list_.box(server).name},
                              {"ms", went.unchanged_for.count() / 1000}});
    if (went.step == hls::ContinuityResult::Step::skipped ||
        went.step == hls::ContinuityResult::Step::restarted)
      say("playlist_broke", {{"playback", said_id(playback.id)},
                             {"box", list_.box(server).name},
                             {"cause", std::string(went.step == hls::ContinuityResult::Step::skipped
                                                       ? "segments that no box shows lie between"
                                                       : "nothing says how it follows")}});
    if (window->slices.empty())
      return media->text;
  }
  const auto base_of = [&](const hls::PlaylistSlice& piece) -> const std::string& {
    if (piece.rung != viewer.pass.rung && !viewer.pass.off_ladder) {
      if (const auto found = side.lists.find(piece.rung); found != side.lists.end())
        return found->second;
    }
    return viewer.pass.path;
  };
  // A rendition's own address for segments of another rung: one for all of a piece.
  std::map<int, std::string> others;
  hls::WriteOptions terms;
  terms.delta_update = viewer.delta;
  terms.is_relocated = [&](const hls::PlaylistSlice& piece) {
    return terms_.hls.direct || viewer.pass.shared_directory || piece.rung != viewer.pass.rung;
  };
  terms.rewrite_uri = [&](const hls::PlaylistSlice& piece, std::string_view uri,
                          hls::Tag of) -> hls::RewrittenUri {
    const auto& base = base_of(piece);
    const auto flat = side.flat.find(piece.rung);
    if (!terms_.hls.direct && !viewer.pass.shared_directory && piece.rung != viewer.pass.rung &&
        (flat == side.flat.end() || !flat->second) && hls::is_plain_file_name(uri)) {
      auto& prefix = others[piece.rung];
      if (prefix.empty()) {
        prefix = rendition_address(viewer, playback, piece.rung, viewer.pass.off_ladder, false, base);
        prefix.resize(prefix.rfind('/') + 1);
      }
      return prefix + std::string(uri);
    }
    return address_of(viewer, playback, piece.source, piece.rung, base, piece.playlist->variables, uri, of);
  };
  return hls::write_media_playlist(*window, terms);
}

}  // namespace violettide::manager
