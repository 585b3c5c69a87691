// The second front: playbacks read by HLS playlists. What a playback is, where it goes and what its mishaps
// mean is the manager's as ever; here a playlist request becomes one of its requests, and a box's playlist
// one for the viewer.
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "gzip/gzip.h"
#include "manager/manager_internal.h"

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
      if (auto value = http::percent_decoded(one.substr(equals + 1)))
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

Manager::HlsRequestResult Manager::parse_hls_request(ViewerConnection& viewer) {
  const std::string_view target = viewer.request.target;
  const auto path = target.substr(0, target.find('?'));
  const auto query = path.size() < target.size() ? target.substr(path.size() + 1) : std::string_view();
  if (path.starts_with(pass_path))
    return parse_signed_url_request(viewer, path.substr(pass_path.size()), query);
  // `/PLAN/TITLE/NAME.m3u8`: where a playback begins.
  if (!path.ends_with(".m3u8") || std::count(path.begin(), path.end(), '/') != 3)
    return HlsRequestResult::not_hls;
  const auto slash = path.rfind('/');
  // Read as an object's path would be, the rung left out.
  auto read = parse_media_path(settings_,
                               std::string(path.substr(0, slash)) + "/r0" + std::string(path.substr(slash)));
  if (const auto* fault = std::get_if<PathError>(&read)) {
    respond(viewer, 404, fault->cause + "\n");
    return HlsRequestResult::answered;
  }
  viewer.media_path = std::move(std::get<MediaPath>(read));
  viewer.resource = ViewerConnection::Resource::multivariant_playlist;
  viewer.box_target = more("/" + http::percent_encoded(settings_.plans[viewer.media_path.plan].name) + "/" +
                               http::percent_encoded(viewer.media_path.title) + "/" +
                               http::percent_encoded(viewer.media_path.object),
                           query_for_box(query));
  viewer.claims = {};
  // Players that say no session id get one: it goes with their addresses, not with their connection.
  if (!viewer.hints.hints.session_id)
    viewer.hints.hints.session_id = settings_.name + "-" + std::to_string(wall_clock().count()) + "-" +
                                    std::to_string(++issued_session_ids_);
  return HlsRequestResult::accepted;
}

Manager::HlsRequestResult Manager::parse_signed_url_request(ViewerConnection& viewer, std::string_view path,
                                                            std::string_view query) {
  const auto refused = [&](int status, const std::string& cause) {
    log_event("address_refused", {{"cause", cause}});
    respond(viewer, status, cause + "\n");
    return HlsRequestResult::answered;
  };
  const auto slash = path.find('/');
  if (slash == std::string_view::npos)
    return refused(404, "no address of this front");
  auto read = url_keys_.verify(wall_clock(), path.substr(0, slash));
  viewer.url_expired = false;
  if (auto* no = std::get_if<signed_url::InvalidToken>(&read)) {
    if (no->error != signed_url::TokenError::expired)
      return refused(403, "this address was not given out by this service");
    viewer.url_expired = true;
    viewer.claims = std::move(*no->claims);
  } else {
    viewer.claims = std::move(std::get<signed_url::Claims>(read));
  }
  const auto& pass = viewer.claims;
  // Guards against a pass of other settings: the numbers in it are places in these.
  if (pass.plan >= static_cast<int>(settings_.plans.size()) ||
      pass.rung >= static_cast<int>(settings_.policy.rung_kb.size()))
    return refused(403, "this address is of another deployment");
  const auto tail = path.substr(slash + 1);
  viewer.media_path = {pass.plan, pass.title, pass.rung, std::string(tail)};
  viewer.hints.hints.session_id = pass.sid;
  if (pass.scope == signed_url::Claims::Scope::steering) {
    viewer.resource = ViewerConnection::Resource::steering;
    if (const auto told = argument(query, "_HLS_throughput")) {
      // Bits a second, as the steering server is told (draft, 7.1).
      if (const auto bits = hls::parse_integer(*told))
        viewer.hints.hints.measured_throughput =
            static_cast<std::int64_t>(std::min<std::uint64_t>(*bits, 1ull << 50) / 1000);
    }
    return HlsRequestResult::accepted;
  }
  if (pass.scope == signed_url::Claims::Scope::multivariant) {
    viewer.resource = ViewerConnection::Resource::multivariant_playlist;
    viewer.box_target = pass.path;
    return HlsRequestResult::accepted;
  }
  if (pass.scope == signed_url::Claims::Scope::resource) {
    viewer.resource = ViewerConnection::Resource::segment;
    viewer.box_target = pass.path;
    return HlsRequestResult::accepted;
  }
  if (tail == file_of(pass.path)) {
    viewer.resource = ViewerConnection::Resource::media_playlist;
    viewer.box_target = pass.path;
    viewer.delta_update = argument(query, "_HLS_skip").has_value();
    if (const auto number = argument(query, "_HLS_msn")) {
      const auto asked = hls::parse_integer(*number);
      if (!asked)
        return refused(400, "_HLS_msn takes a media sequence number");
      viewer.blocking_reload = true;
      auto there = *asked;
      // The player counts as this front does; the box as it does itself.
      const auto known = playback_by_key_.find(playback_key(pass.plan, pass.title, "s" + pass.sid));
      if (known != playback_by_key_.end() && playbacks_.at(known->second)->hls) {
        auto& readers = playbacks_.at(known->second)->hls->players;
        if (const auto reader = readers.find(pass.player); reader != readers.end()) {
          if (const auto course = reader->second.continuities.find(pass.path);
              course != reader->second.continuities.end())
            there = course->second.server_sequence(there);
        }
      }
      std::string directives = "_HLS_msn=" + std::to_string(there);
      if (const auto part = argument(query, "_HLS_part"); part && hls::parse_integer(*part))
        directives += "&_HLS_part=" + std::string(*part);
      viewer.box_target = more(viewer.box_target, directives);
    }
    return HlsRequestResult::accepted;
  }
  // Something in the rendition's directory; a name that leads out of it has another's address, or none.
  if (pass.shared_directory)
    return refused(403, "this address is not of that segment");
  const auto directory = hls::directory_of(pass.path);
  const auto resolved = hls::resolve(directory, tail);
  const auto* place = std::get_if<hls::SameServerUri>(&resolved);
  if (!place || !place->text.starts_with(directory) || place->text.size() == directory.size())
    return refused(403, "this address is not of that segment");
  viewer.resource = ViewerConnection::Resource::segment;
  viewer.box_target = more(place->text, query_for_box(query));
  return HlsRequestResult::accepted;
}

// An address of a playback that is not known here: it is adopted, begun anew or answered at once, and then
// false.
bool Manager::adopt_playback(ViewerConnection& viewer) {
  const auto& pass = viewer.claims;
  const auto key = playback_key(pass.plan, pass.title, "s" + pass.sid);
  if (playback_by_key_.contains(key))
    return true;
  const auto& plan = settings_.policy.plans[pass.plan];
  hls::OrphanedRequest orphan;
  using Resource = hls::OrphanedRequest::Resource;
  orphan.resource = viewer.resource == ViewerConnection::Resource::steering         ? Resource::steering
                    : viewer.resource == ViewerConnection::Resource::media_playlist ? Resource::media_playlist
                                                                                    : Resource::segment;
  orphan.expired = viewer.url_expired;
  orphan.paid_at_setup = plan.pay_at_setup;
  orphan.counted_seats = plan.seats > 0 || ledger_ != nullptr;
  orphan.ended = ended_playbacks_.find(now_, key);
  const auto server = box_list_.find(pass.box);
  orphan.server_ready = server && box_list_.box(*server).state == ServerState::ready;
  const auto verdict = hls::judge_orphaned_request(now_, orphan);
  if (const auto* over = std::get_if<hls::Gone>(&verdict)) {
    log_event("address_orphaned", {{"sid", pass.sid}, {"cause", over->cause}});
    respond(viewer, 410, over->cause + "\n");
    return false;
  }
  if (const auto* later = std::get_if<hls::RetryLater>(&verdict)) {
    const auto whole = std::max<std::int64_t>(1, (later->after.count() + 999'999) / 1'000'000);
    respond(viewer, 503, "rejected: no box has room\n", {{"Retry-After", std::to_string(whole)}});
    return false;
  }
  if (std::holds_alternative<hls::StartAnew>(verdict))
    return true;
  auto& playback = find_or_create_playback(viewer);
  playback.setup_requested_at = now_;
  attach_hls_state(playback);
  const auto request = make_setup_request(playback, viewer);
  if (!request) {
    respond(viewer, 404, "no recording of that title\n");
    return false;
  }
  playback.playing = true;
  playback.server = *server;
  // What its address says it was shown, until the module says otherwise.
  playback.rung = std::max(plan.floor, pass.rung);
  playback.hls->rung_policy.handle(now_, hls::RungDecided{playback.rung});
  if (playback.recording) {
    if (auto asking = setups_by_recording_.find(*playback.recording); asking != setups_by_recording_.end())
      asking->second.erase(playback.id);
  }
  log_event("playback_carried_over", {{"playback", log_id(playback.id)},
                                      {"sid", playback.session_id},
                                      {"title", playback.title},
                                      {"box", pass.box}});
  post_event(PlaybackAdopted{*request, *server});
  return true;
}

// ---- what players go on from ----

void Manager::attach_hls_state(Playback& playback) {
  if (playback.hls)
    return;
  if (const auto kept = ended_hls_states_.find(playback.key); kept != ended_hls_states_.end()) {
    playback.hls = std::move(kept->second);
    ended_hls_states_.erase(kept);
    ended_playbacks_.forget(playback.key);
  } else {
    playback.hls =
        std::make_unique<HlsState>(settings_.hls.rung_policy, settings_.policy.plans[playback.plan].floor);
  }
  // Before it plays the module's word is still to come.
  if (playback.playing)
    playback.hls->rung_policy.handle(now_, hls::RungDecided{playback.rung});
}

// The playback is over here, but its player may not know: its numbers and its address are remembered.
void Manager::record_ended_playback(Playback& playback, hls::EndReason how, Duration come_back) {
  if (!playback.hls)
    return;
  ended_playbacks_.record(now_, playback.key, how, come_back);
  if (!playback.token.empty())
    playback.hls->token = playback.token;
  while (ended_hls_order_.size() >= settings_.hls.max_ended_playbacks) {
    ended_hls_states_.erase(ended_hls_order_.front());
    ended_hls_order_.pop_front();
  }
  ended_hls_states_[playback.key] = std::move(playback.hls);
  ended_hls_order_.push_back(playback.key);
}

// ---- asking boxes ----

// What is asked of the box, and on the link what is to be known of it.
std::string Manager::box_request_target(ViewerConnection& viewer, Playback& playback, BoxConnection& link) {
  using Wants = ViewerConnection::Resource;
  link.collects_playlist =
      viewer.resource == Wants::multivariant_playlist || viewer.resource == Wants::media_playlist;
  link.off_ladder = link.collects_playlist || (viewer.resource == Wants::segment && viewer.claims.off_ladder);
  if (viewer.resource == Wants::object) {
    link.rung = effective_rung(playback, viewer.media_path.rung);
    return format_media_path(settings_, viewer.media_path, link.rung);
  }
  link.rung = viewer.resource == Wants::segment ? viewer.claims.rung : playback.rung;
  if (viewer.resource == Wants::media_playlist) {
    viewer.source_rung = viewer.claims.rung;
    if (!viewer.claims.off_ladder && playback.hls) {
      const auto verdict =
          playback.hls->rung_policy.handle(now_, hls::MediaPlaylistRequested{viewer.claims.rung});
      const int rung = std::get<hls::UseRung>(verdict).rung;
      if (const auto found = playback.hls->media_playlists.find(rung);
          rung != viewer.claims.rung && found != playback.hls->media_playlists.end()) {
        viewer.source_rung = rung;
        link.target = found->second;
        return found->second;
      }
    }
    link.target = viewer.claims.path;
    return viewer.box_target;
  }
  link.target = viewer.box_target;
  return viewer.box_target;
}

// False where the request of a playing playback is answered without a box.
bool Manager::admit_hls_request(ViewerConnection& viewer, Playback& playback) {
  using Wants = ViewerConnection::Resource;
  auto& side = *playback.hls;
  auto& readers = side.players;
  const auto told = viewer.hints.hints.buffer_length;
  const Duration buffer = std::chrono::milliseconds(std::clamp<std::int64_t>(told.value_or(0), 0, 600'000));
  if (viewer.resource == Wants::multivariant_playlist && !readers.contains(viewer.claims.player)) {
    std::erase_if(readers, [&](const auto& entry) {
      return now_ - entry.second.last_seen > side.rung_policy.idle_timeout();
    });
    // Guards against one session id, and its one seat, being shared by players without end.
    if (readers.size() >= static_cast<std::size_t>(settings_.hls.max_players)) {
      log_event("readers_too_many", {{"playback", log_id(playback.id)}});
      viewer.playback_id.reset();
      respond(viewer, 503, "too many players share this session id\n", short_retry_after());
      return false;
    }
    return true;
  }
  if (viewer.resource == Wants::multivariant_playlist)
    return true;
  if (!readers.contains(viewer.claims.player) &&
      readers.size() >= 2 * static_cast<std::size_t>(settings_.hls.max_players)) {
    readers.erase(std::min_element(readers.begin(), readers.end(),
                                   [](auto& a, auto& b) { return a.second.last_seen < b.second.last_seen; }));
  }
  readers[viewer.claims.player].last_seen = now_;
  side.next_player = std::max(side.next_player, viewer.claims.player % 250 + 1);
  if (viewer.resource == Wants::steering) {
    viewer.playback_id.reset();
    restart_idle_timer(playback);
    const nlohmann::ordered_json manifest{
        {"VERSION", 1},
        {"TTL",
         std::max<std::int64_t>(1, side.rung_policy.idle_timeout().count() / 1'000'000 / steering_asks)},
        {"PATHWAY-PRIORITY", {"."}}};
    respond(viewer, 200, manifest.dump() + "\n",
            {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}});
    return false;
  }
  if (viewer.resource != Wants::segment || viewer.claims.off_ladder)
    return true;
  const auto verdict = side.rung_policy.handle(now_, hls::SegmentRequested{viewer.claims.rung, buffer});
  const auto* high = std::get_if<hls::RungTooHigh>(&verdict);
  if (!high)
    return true;
  log_event("segment_too_high", {{"playback", log_id(playback.id)},
                                 {"rung", std::int64_t{viewer.claims.rung}},
                                 {"shown", std::int64_t{high->rung}}});
  hints::CmsdDynamic own;
  own.server = settings_.name;
  own.max_suggested_bitrate = std::llround(rate_kb(playback, high->rung) * kbit_per_kb);
  viewer.playback_id.reset();
  restart_idle_timer(playback);
  respond(viewer, 404, "this rendition is not listed any more\n",
          {{"CMSD-Dynamic", hints::cmsd_entry(own)}, {"Cache-Control", "no-store"}});
  return false;
}

// ---- a box's playlist ----

void Manager::collect_playlist(BoxConnection& link, http::ResponseReader::Part& part) {
  if (part.head)
    link.content_encoding = http::joined(part.head->fields, "Content-Encoding");
  link.body += part.body;
  // Guards against a box that never ends its playlist.
  if (link.body.size() > settings_.hls.playlist_limits.bytes) {
    link.keep_alive = false;
    return on_playlist_invalid(link,
                               "more than " + std::to_string(settings_.hls.playlist_limits.bytes) + " bytes");
  }
  if (part.done)
    on_playlist_complete(link);
}

void Manager::on_playlist_invalid(BoxConnection& link, const std::string& cause) {
  log_event("playlist_malformed",
            {{"box", box_list_.box(link.server).name}, {"target", link.target}, {"cause", cause}});
  const bool whole = link.keep_alive;
  if (link.purpose != ConnectionPurpose::setup_try)
    return on_box_failure(link, Outcome::error);
  const ConnectionId id = link.id;
  on_try_failed(link, Outcome::error, {{"cause", cause}});
  if (box_connections_.contains(id) && whole)
    release_connection(link, true);
}

void Manager::on_playlist_complete(BoxConnection& link) {
  auto text = std::move(link.body);
  link.body.clear();
  if (!link.content_encoding.empty() && link.content_encoding != "identity") {
    auto plain = link.content_encoding == "gzip" || link.content_encoding == "x-gzip"
                     ? gzip::decompress(text, settings_.hls.playlist_limits.bytes)
                     : std::nullopt;
    if (!plain)
      return on_playlist_invalid(link, "a body that is no " + link.content_encoding + " within the limits");
    text = std::move(*plain);
  }
  const auto found = playbacks_.find(*link.playback_id);
  if (found == playbacks_.end())
    return close_box_connection(link.id);
  auto& playback = *found->second;
  // The viewer it was asked for; if it left meanwhile, the playlist proves the set-up all the same.
  const auto first = viewer_connections_.find(link.viewer_connection);
  auto* viewer = first == viewer_connections_.end() ? nullptr : first->second.get();
  std::variant<std::string, hls::PlaylistError> made;
  if (!viewer)
    made = std::string();
  else if (viewer->resource == ViewerConnection::Resource::multivariant_playlist)
    made = rewrite_multivariant_playlist(*viewer, playback, link.target, std::move(text));
  else
    made = rewrite_media_playlist(*viewer, playback, link.server, link.target, std::move(text));
  if (const auto* fault = std::get_if<hls::PlaylistError>(&made))
    return on_playlist_invalid(link, fault->text());
  if (link.purpose == ConnectionPurpose::setup_try)
    on_try_succeeded(link, nullptr);
  if (playback.objects_in_flight > 0)
    --playback.objects_in_flight;
  restart_idle_timer(playback);
  const ConnectionId waiting = link.viewer_connection;
  release_connection(link, true);
  if (const auto still = viewer_connections_.find(waiting); still != viewer_connections_.end())
    respond_with_playlist(*still->second, playback, std::get<std::string>(made));
}

void Manager::respond_with_playlist(ViewerConnection& viewer, const Playback& playback,
                                    const std::string& text) {
  hints::CmsdDynamic own;
  own.server = settings_.name;
  own.response_delay = (now_ - viewer.received_at).count() / 1000;
  own.max_suggested_bitrate =
      std::llround(rate_kb(playback, playback.hls->rung_policy.listed()) * kbit_per_kb);
  http::Fields fields{{"Content-Type", "application/vnd.apple.mpegurl"},
                      {"Cache-Control", "no-store"},
                      {"Vary", "Accept-Encoding"},
                      {"Via", "1.1 " + settings_.name},
                      {"CMSD-Dynamic", hints::cmsd_entry(own)}};
  const bool pack = text.size() >= worth_packing &&
                    gzip::is_accepted(http::joined(viewer.request.fields, "Accept-Encoding"));
  if (pack)
    fields.emplace_back("Content-Encoding", "gzip");
  if (viewer.resource == ViewerConnection::Resource::multivariant_playlist) {
    // Read again there, it is known to be the same player; CMSD's mb tells when that is worth it.
    auto pass = viewer.claims;
    pass.scope = signed_url::Claims::Scope::multivariant;
    pass.plan = playback.plan;
    pass.title = playback.title;
    pass.sid = playback.session_id;
    pass.box = box_list_.box(playback.server).name;
    pass.path = viewer.box_target;
    fields.emplace_back("Content-Location", sign_url(std::move(pass)));
  }
  const auto body = pack ? gzip::compress(text) : text;
  viewer.box_connection = 0;  // its link is free: what this viewer is slow to read must not hold another's
  send_to_viewer(viewer, http::head_text(200, fields, body.size(), !viewer.close_after) + body);
  finish_response(viewer);
}

// ---- the multivariant playlist ----

// The ladder's rung whose rate is nearest by ratio.
int Manager::nearest_rung(const Playback& playback, std::uint64_t bandwidth) const {
  int best = 0;
  double least = 0;
  for (int rung = 0; rung < static_cast<int>(settings_.policy.rung_kb.size()); ++rung) {
    const double bits = rate_kb(playback, rung) * 1000 * kbit_per_kb;
    const double off = std::fabs(std::log(std::max(1.0, static_cast<double>(bandwidth)) / bits));
    if (rung == 0 || off < least)
      best = rung, least = off;
  }
  return best;
}

std::string Manager::rendition_url(const ViewerConnection& viewer, const Playback& playback, int rung,
                                   bool steady, bool flat, const std::string& place) {
  auto pass = viewer.claims;
  pass.scope = signed_url::Claims::Scope::rendition;
  pass.shared_directory = flat;
  pass.off_ladder = steady;
  pass.plan = playback.plan;
  pass.rung = rung;
  pass.title = playback.title;
  pass.sid = playback.session_id;
  if (pass.box.empty())
    pass.box = box_list_.box(playback.server).name;
  pass.path = place;
  return sign_url(std::move(pass));
}

std::variant<std::string, hls::PlaylistError> Manager::rewrite_multivariant_playlist(
    ViewerConnection& viewer, Playback& playback, const std::string& target, std::string text) {
  auto& side = *playback.hls;
  auto read = hls::parse_multivariant_playlist(std::move(text), settings_.hls.playlist_limits,
                                               with_query({}, target));
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
  const auto verdict = side.rung_policy.handle(now_, hls::MultivariantRequested{});
  const auto range = std::get<hls::ListRungs>(verdict);
  const auto pathway =
      !lists.initial_pathway.empty() ? lists.initial_pathway : lists.variants.front().pathway;
  std::vector<int> rungs;
  int above = -1;  // where the box has none that may be shown: the least above the floor
  bool some = false;
  for (const auto& variant : lists.variants) {
    const int rung =
        nearest_rung(playback, variant.average_bandwidth ? variant.average_bandwidth : variant.bandwidth);
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
  side.media_playlists.clear();
  side.shared_directory.clear();
  for (std::size_t i = 0; i < lists.variants.size(); ++i) {
    const auto& variant = lists.variants[i];
    const auto& placed = places.find(variant.uri.view_in(lists.text))->second;
    const bool show = rungs[i] >= low && rungs[i] <= high && variant.pathway == pathway;
    shown.variants.push_back(show);
    if (show)
      widest = std::max(widest, variant.bandwidth);
    if (variant.pathway != pathway || rungs[i] < low)
      continue;
    side.media_playlists.emplace(rungs[i], placed.place);
    side.shared_directory.emplace(rungs[i], placed.flat);
  }
  for (const auto& frames : lists.i_frames)
    shown.i_frames.push_back(frames.bandwidth <= widest && frames.pathway == pathway);
  side.variables = lists.variables;
  if (viewer.claims.player == 0)
    viewer.claims.player = std::exchange(side.next_player, side.next_player % 250 + 1);
  side.players[viewer.claims.player].last_seen = now_;
  // Given out now, whatever address the lists were read at.
  viewer.claims.expires = Duration(0);
  viewer.claims.box.clear();
  const auto address_for = [&](std::string_view uri, hls::Tag of, std::size_t index) -> hls::RewrittenUri {
    if (of == hls::Tag::session_data || of == hls::Tag::session_key)
      return rewrite_playlist_uri(viewer, playback, playback.server, 0, target, lists.variables, uri, of);
    const auto& placed = places.find(uri)->second;
    const bool variant = of == hls::Tag::stream_inf;
    return rendition_url(viewer, playback, variant ? rungs[index] : 0, !variant, placed.flat, placed.place);
  };
  std::string own;
  if (settings_.hls.direct_segments) {
    signed_url::Claims pass;
    pass.scope = signed_url::Claims::Scope::steering;
    pass.plan = playback.plan;
    pass.player = viewer.claims.player;
    pass.title = playback.title;
    pass.sid = playback.session_id;
    pass.box = box_list_.box(playback.server).name;
    own = "#EXT-X-CONTENT-STEERING:SERVER-URI=\"" + std::string(pass_path) +
          url_keys_.sign(wall_clock(), pass) + "/" + std::string(steering_name) + "\"\n";
  }
  return hls::write_multivariant_playlist(lists, shown, address_for, own);
}

// ---- media playlists ----

// As the box had it, read once for all who ask: what has not changed since is not read again.
std::variant<std::shared_ptr<const hls::MediaPlaylist>, hls::PlaylistError> Manager::parse_or_reuse_playlist(
    ServerId server, const std::string& target, std::string text, const hls::Variables& variables) {
  const std::pair at(server, target);
  auto& kept = playlist_cache_[at];
  const auto used = [&] {
    if (kept.last_use)
      playlist_lru_.erase(kept.last_use);
    kept.last_use = ++playlist_uses_;
    playlist_lru_[kept.last_use] = at;
  };
  if (kept.playlist && kept.playlist->text == text) {
    used();
    return kept.playlist;
  }
  auto read = hls::parse_media_playlist(std::move(text), settings_.hls.playlist_limits, variables,
                                        kept.playlist.get());
  if (auto* fault = std::get_if<hls::PlaylistError>(&read)) {
    if (!kept.playlist)
      playlist_cache_.erase(at);
    return *fault;
  }
  const auto weight = [](const hls::MediaPlaylist& media) {
    return media.text.size() + media.segments.size() * sizeof(hls::Segment);
  };
  if (kept.playlist)
    playlist_cache_bytes_ -= weight(*kept.playlist);
  kept.playlist = std::make_shared<const hls::MediaPlaylist>(std::get<hls::MediaPlaylist>(std::move(read)));
  playlist_cache_bytes_ += weight(*kept.playlist);
  auto media = kept.playlist;
  used();
  // Guards against the playlists of every recording ever played staying.
  while (playlist_cache_bytes_ > settings_.hls.playlist_cache_bytes && playlist_lru_.size() > 1) {
    const auto oldest = playlist_cache_.find(playlist_lru_.begin()->second);
    playlist_cache_bytes_ -= weight(*oldest->second.playlist);
    playlist_cache_.erase(oldest);
    playlist_lru_.erase(playlist_lru_.begin());
  }
  return media;
}

// Where at the box a URI of its playlist leads; nothing: to another service, whose it stays.
hls::RewrittenUri Manager::resolve_at_box(const hls::Variables& variables, ServerId server,
                                          const std::string& base, std::string_view uri, hls::Tag of) const {
  const auto& box = box_list_.box(server);
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

hls::RewrittenUri Manager::rewrite_playlist_uri(const ViewerConnection& viewer, const Playback& playback,
                                                ServerId server, int rung, const std::string& base,
                                                const hls::Variables& variables, std::string_view uri,
                                                hls::Tag of) {
  const auto& box = box_list_.box(server);
  auto placed = resolve_at_box(variables, server, base, uri, of);
  if (!std::holds_alternative<std::string>(placed))
    return placed;
  const auto place = std::get<std::string>(std::move(placed));
  if (settings_.hls.direct_segments)
    return "http://" + box.address + ":" + std::to_string(box.port) + place;
  const bool own_rung =
      viewer.resource == ViewerConnection::Resource::media_playlist && rung == viewer.claims.rung;
  const auto directory = hls::directory_of(base);
  if (own_rung && !viewer.claims.shared_directory && place.starts_with(directory) &&
      place.size() > directory.size())
    return place.substr(directory.size());
  // Signed as the playlist's own address was: what is listed once is listed the same way each time.
  auto pass = viewer.claims;
  pass.scope = signed_url::Claims::Scope::resource;
  pass.off_ladder = viewer.resource == ViewerConnection::Resource::media_playlist && viewer.claims.off_ladder;
  pass.shared_directory = false;
  pass.plan = playback.plan;
  pass.rung = rung;
  pass.title = playback.title;
  pass.sid = playback.session_id;
  pass.path = place;
  return sign_url(pass);
}

// Signed as of now, or as the pass says that it was copied from.
std::string Manager::sign_url(signed_url::Claims pass) {
  const Duration at =
      pass.expires > Duration(0) ? pass.expires - settings_.hls.url_keys.lifetime : wall_clock();
  const auto name = std::string(file_of(pass.path));
  return std::string(pass_path) + url_keys_.sign(at, std::move(pass)) + "/" + name;
}

std::variant<std::string, hls::PlaylistError> Manager::rewrite_media_playlist(const ViewerConnection& viewer,
                                                                              Playback& playback,
                                                                              ServerId server,
                                                                              const std::string& target,
                                                                              std::string text) {
  auto& side = *playback.hls;
  auto read = parse_or_reuse_playlist(server, target, std::move(text), with_query(side.variables, target));
  if (const auto* fault = std::get_if<hls::PlaylistError>(&read))
    return *fault;
  const auto media = std::get<std::shared_ptr<const hls::MediaPlaylist>>(read);
  side.target_duration = media->target_duration;
  const int rung = viewer.source_rung;
  // Guards against one bad list staying in a player's course: it is looked through before it is taken.
  for (const auto& uri : media->non_plain_uris) {
    const auto placed =
        resolve_at_box(media->variables, server, target, uri.range.view_in(media->text), uri.tag);
    if (const auto* none = std::get_if<hls::RewriteError>(&placed))
      return hls::error_at(media->text, uri.range.from, none->cause);
  }
  auto& courses = side.players[viewer.claims.player].continuities;
  const auto known = courses.find(viewer.claims.path);
  hls::Window whole;
  const hls::Window* window = &whole;
  // What was whole from the beginning follows nothing that was shown.
  if (media->ended && known == courses.end()) {
    whole.slices.push_back(
        {media, 0, static_cast<std::uint32_t>(media->segments.size()), server, rung, false});
    whole.media_sequence = media->media_sequence;
    whole.discontinuity_sequence = media->discontinuity_sequence;
    side.rung_policy.handle(now_, hls::TargetDurationRead{media->target_duration, false});
  } else {
    side.rung_policy.handle(now_, hls::TargetDurationRead{media->target_duration, true});
    const auto beside = std::find_if(courses.begin(), courses.end(),
                                     [&](const auto& other) { return other.first != viewer.claims.path; });
    const hls::Continuity* other = beside == courses.end() ? nullptr : &beside->second;
    auto& course = courses[viewer.claims.path];
    const auto went = course.apply(now_, {media, server, rung}, other);
    window = &course.window();
    if (went.step == hls::ContinuityResult::Step::unchanged &&
        went.unchanged_for > stands_for * media->target_duration)
      log_event("playlist_stands", {{"playback", log_id(playback.id)},
                                    {"box", box_list_.box(server).name},
                                    {"ms", went.unchanged_for.count() / 1000}});
    if (went.step == hls::ContinuityResult::Step::skipped ||
        went.step == hls::ContinuityResult::Step::restarted)
      log_event("playlist_broke", {{"playback", log_id(playback.id)},
                                   {"box", box_list_.box(server).name},
                                   {"cause", std::string(went.step == hls::ContinuityResult::Step::skipped
                                                             ? "segments that no box shows lie between"
                                                             : "nothing says how it follows")}});
    if (window->slices.empty())
      return media->text;
  }
  const auto base_of = [&](const hls::PlaylistSlice& piece) -> const std::string& {
    if (piece.rung != viewer.claims.rung && !viewer.claims.off_ladder) {
      if (const auto found = side.media_playlists.find(piece.rung); found != side.media_playlists.end())
        return found->second;
    }
    return viewer.claims.path;
  };
  // A rendition's own address for segments of another rung: one for all of a piece.
  std::map<int, std::string> others;
  hls::WriteOptions terms;
  terms.delta_update = viewer.delta_update;
  terms.is_relocated = [&](const hls::PlaylistSlice& piece) {
    return settings_.hls.direct_segments || viewer.claims.shared_directory ||
           piece.rung != viewer.claims.rung;
  };
  terms.rewrite_uri = [&](const hls::PlaylistSlice& piece, std::string_view uri,
                          hls::Tag of) -> hls::RewrittenUri {
    const auto& base = base_of(piece);
    const auto flat = side.shared_directory.find(piece.rung);
    if (!settings_.hls.direct_segments && !viewer.claims.shared_directory &&
        piece.rung != viewer.claims.rung && (flat == side.shared_directory.end() || !flat->second) &&
        hls::is_plain_file_name(uri)) {
      auto& prefix = others[piece.rung];
      if (prefix.empty()) {
        prefix = rendition_url(viewer, playback, piece.rung, viewer.claims.off_ladder, false, base);
        prefix.resize(prefix.rfind('/') + 1);
      }
      return prefix + std::string(uri);
    }
    return rewrite_playlist_uri(viewer, playback, piece.source, piece.rung, base, piece.playlist->variables,
                                uri, of);
  };
  return hls::write_media_playlist(*window, terms);
}

}  // namespace violettide::manager
