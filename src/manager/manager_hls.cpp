// The manager's HLS part: turns playlist and signed URL requests into requests of a playback, and rewrites
// the playlists of boxes for the viewer. Placement, retries and the end of a playback are as for plain
// objects.
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "gzip/gzip.h"
#include "manager/manager_internal.h"

namespace violettide::manager {

namespace {

constexpr std::string_view signed_url_prefix = "/~/";
constexpr std::string_view steering_file_name = "steering.json";
constexpr std::size_t min_bytes_to_compress = 1024;
constexpr double kbit_per_kb = 8;
constexpr int unchanged_log_targets = 3;       // target durations without change after which it is logged
constexpr int steering_polls_per_timeout = 3;  // the manifest's TTL is the idle timeout divided by this

// Returns the last path segment of a request target.
std::string_view file_name_of(std::string_view target) {
  const auto path = target.substr(0, target.find('?'));
  return path.substr(path.rfind('/') + 1);
}

// Returns the query without the parameters that are meant for this front only: CMCD, HLS directives, tokens.
std::string box_query(std::string_view query) {
  std::string result;
  for (std::size_t from = 0; from < query.size();) {
    const auto end = std::min(query.find('&', from), query.size());
    const auto parameter = query.substr(from, end - from);
    from = end + 1;
    if (parameter.empty() || parameter.starts_with("CMCD=") || parameter.starts_with("_HLS_") ||
        parameter.starts_with("access_token=") || parameter.starts_with("CTA-Common-Access-Token="))
      continue;
    if (!result.empty())
      result += '&';
    result += parameter;
  }
  return result;
}

// Returns the value of a query parameter as written, still percent-encoded.
std::optional<std::string_view> query_parameter(std::string_view query, std::string_view name) {
  for (std::size_t from = 0; from < query.size();) {
    const auto end = std::min(query.find('&', from), query.size());
    const auto parameter = query.substr(from, end - from);
    from = end + 1;
    if (parameter.size() > name.size() && parameter.starts_with(name) && parameter[name.size()] == '=')
      return parameter.substr(name.size() + 1);
  }
  return std::nullopt;
}

// Returns the variables that EXT-X-DEFINE may import: `variables`, and the query parameters of the target.
hls::Variables with_query_parameters(hls::Variables variables, std::string_view target) {
  const auto from = target.find('?');
  for (auto at = from; at != std::string_view::npos;) {
    const auto end = target.find('&', at + 1);
    const auto parameter = target.substr(at + 1, end == std::string_view::npos ? end : end - at - 1);
    const auto equals = parameter.find('=');
    if (equals != std::string_view::npos) {
      if (auto value = http::percent_decode(parameter.substr(equals + 1)))
        variables.insert_or_assign(std::string(parameter.substr(0, equals)), std::move(*value));
    }
    at = end;
  }
  return variables;
}

// Appends a query to a target that may have one already.
std::string append_query(std::string_view target, const std::string& query) {
  std::string result(target);
  if (!query.empty())
    result.append(target.find('?') == std::string_view::npos ? "?" : "&").append(query);
  return result;
}

}  // namespace

// ---- request parsing ----

// Parses the request for the first multivariant playlist of a playback, or one at a signed URL.
Manager::HlsRequestResult Manager::parse_hls_request(ViewerConnection& viewer) {
  const std::string_view target = viewer.request.target;
  const auto path = target.substr(0, target.find('?'));
  const auto query = path.size() < target.size() ? target.substr(path.size() + 1) : std::string_view();
  if (path.starts_with(signed_url_prefix))
    return parse_signed_url_request(viewer, path.substr(signed_url_prefix.size()), query);
  // `/PLAN/TITLE/NAME.m3u8` starts a playback.
  if (!path.ends_with(".m3u8") || std::count(path.begin(), path.end(), '/') != 3)
    return HlsRequestResult::not_hls;
  const auto slash = path.rfind('/');
  // Parsed as the path of an object, with a placeholder for the rung.
  auto parsed = parse_media_path(
      settings_, std::string(path.substr(0, slash)) + "/r0" + std::string(path.substr(slash)));
  if (const auto* error = std::get_if<PathError>(&parsed)) {
    respond(viewer, 404, error->cause + "\n");
    return HlsRequestResult::answered;
  }
  viewer.media_path = std::move(std::get<MediaPath>(parsed));
  viewer.resource = ViewerConnection::Resource::multivariant_playlist;
  viewer.box_target = append_query("/" + http::percent_encode(settings_.plans[viewer.media_path.plan].name) +
                                       "/" + http::percent_encode(viewer.media_path.title) + "/" +
                                       http::percent_encode(viewer.media_path.object),
                                   box_query(query));
  viewer.claims = {};
  // A player without a CMCD session id gets one: it is part of its signed URLs, so that it holds across
  // connections.
  if (!viewer.hints.cmcd.session_id)
    viewer.hints.cmcd.session_id = settings_.name + "-" + std::to_string(wall_clock().count()) + "-" +
                                   std::to_string(++issued_session_ids_);
  return HlsRequestResult::accepted;
}

// Verifies the token of a signed URL and finds what it gives access to. `path` is what follows the prefix:
// the token, a slash and a name. An expired token is accepted here: adopt_playback() decides on it.
Manager::HlsRequestResult Manager::parse_signed_url_request(ViewerConnection& viewer, std::string_view path,
                                                            std::string_view query) {
  const auto refuse = [&](int status, const std::string& cause) {
    log_event("address_refused", {{"cause", cause}});
    respond(viewer, status, cause + "\n");
    return HlsRequestResult::answered;
  };
  const auto slash = path.find('/');
  if (slash == std::string_view::npos)
    return refuse(404, "malformed signed URL");
  auto verified = url_keys_.verify(wall_clock(), path.substr(0, slash));
  viewer.url_expired = false;
  if (auto* invalid = std::get_if<signed_url::InvalidToken>(&verified)) {
    if (invalid->error != signed_url::TokenError::expired)
      return refuse(403, "this URL was not signed by this service");
    viewer.url_expired = true;
    viewer.claims = std::move(*invalid->claims);
  } else {
    viewer.claims = std::move(std::get<signed_url::Claims>(verified));
  }
  const auto& claims = viewer.claims;
  // Guards against a token that was signed under other settings: its plan and rung are indices into these.
  if (claims.plan >= static_cast<int>(settings_.plans.size()) ||
      claims.rung >= static_cast<int>(settings_.policy.rung_kb.size()))
    return refuse(403, "this URL was signed for another deployment");
  const auto file_name = path.substr(slash + 1);
  viewer.media_path = {claims.plan, claims.title, claims.rung, std::string(file_name)};
  viewer.hints.cmcd.session_id = claims.sid;
  if (claims.scope == signed_url::Claims::Scope::steering) {
    viewer.resource = ViewerConnection::Resource::steering;
    if (const auto throughput = query_parameter(query, "_HLS_throughput")) {
      // In bits a second (HLS draft, section 7.1); kept as kbit/s.
      if (const auto bits_per_s = hls::parse_integer(*throughput))
        viewer.hints.cmcd.measured_throughput =
            static_cast<std::int64_t>(std::min<std::uint64_t>(*bits_per_s, 1ull << 50) / 1000);
    }
    return HlsRequestResult::accepted;
  }
  if (claims.scope == signed_url::Claims::Scope::multivariant) {
    viewer.resource = ViewerConnection::Resource::multivariant_playlist;
    viewer.box_target = claims.path;
    return HlsRequestResult::accepted;
  }
  if (claims.scope == signed_url::Claims::Scope::resource) {
    viewer.resource = ViewerConnection::Resource::segment;
    viewer.box_target = claims.path;
    return HlsRequestResult::accepted;
  }
  if (file_name == file_name_of(claims.path)) {
    viewer.resource = ViewerConnection::Resource::media_playlist;
    viewer.box_target = claims.path;
    viewer.delta_update = query_parameter(query, "_HLS_skip").has_value();
    if (const auto number = query_parameter(query, "_HLS_msn")) {
      const auto player_sequence = hls::parse_integer(*number);
      if (!player_sequence)
        return refuse(400, "_HLS_msn must be a media sequence number");
      viewer.blocking_reload = true;
      auto server_sequence = *player_sequence;
      // Maps the player's media sequence number, which this front assigned, to the number at the box.
      const auto playback = playback_by_key_.find(playback_key(claims.plan, claims.title, "s" + claims.sid));
      if (playback != playback_by_key_.end() && playbacks_.at(playback->second)->hls) {
        auto& players = playbacks_.at(playback->second)->hls->players;
        if (const auto player = players.find(claims.player); player != players.end()) {
          if (const auto continuity = player->second.continuities.find(claims.path);
              continuity != player->second.continuities.end())
            server_sequence = continuity->second.server_sequence(server_sequence);
        }
      }
      std::string directives = "_HLS_msn=" + std::to_string(server_sequence);
      if (const auto part = query_parameter(query, "_HLS_part"); part && hls::parse_integer(*part))
        directives += "&_HLS_part=" + std::string(*part);
      viewer.box_target = append_query(viewer.box_target, directives);
    }
    return HlsRequestResult::accepted;
  }
  // A file in the directory of the rendition. A name that leads out of the directory is refused: other
  // renditions have signed URLs of their own.
  if (claims.shared_directory)
    return refuse(403, "this URL does not cover that file");
  const auto directory = hls::directory_of(claims.path);
  const auto resolved = hls::resolve(directory, file_name);
  const auto* same_server = std::get_if<hls::SameServerUri>(&resolved);
  if (!same_server || !same_server->text.starts_with(directory) ||
      same_server->text.size() == directory.size())
    return refuse(403, "this URL does not cover that file");
  viewer.resource = ViewerConnection::Resource::segment;
  viewer.box_target = append_query(same_server->text, box_query(query));
  return HlsRequestResult::accepted;
}

// Handles a signed URL of a playback that is not known here, as after a restart: the playback is adopted at
// the box of the token, set up anew, or the request is answered at once. Returns false if it was answered.
bool Manager::adopt_playback(ViewerConnection& viewer) {
  const auto& claims = viewer.claims;
  const auto key = playback_key(claims.plan, claims.title, "s" + claims.sid);
  if (playback_by_key_.contains(key))
    return true;
  const auto& plan = settings_.policy.plans[claims.plan];
  hls::OrphanedRequest orphan;
  using Resource = hls::OrphanedRequest::Resource;
  orphan.resource = viewer.resource == ViewerConnection::Resource::steering         ? Resource::steering
                    : viewer.resource == ViewerConnection::Resource::media_playlist ? Resource::media_playlist
                                                                                    : Resource::segment;
  orphan.expired = viewer.url_expired;
  orphan.paid_at_setup = plan.pay_at_setup;
  orphan.counted_seats = plan.seats > 0 || ledger_ != nullptr;
  orphan.ended = ended_playbacks_.find(now_, key);
  const auto server = box_list_.find(claims.box);
  orphan.server_ready = server && box_list_.box(*server).state == ServerState::ready;
  const auto verdict = hls::judge_orphaned_request(now_, orphan);
  if (const auto* gone = std::get_if<hls::Gone>(&verdict)) {
    log_event("address_orphaned", {{"sid", claims.sid}, {"cause", gone->cause}});
    respond(viewer, 410, gone->cause + "\n");
    return false;
  }
  if (const auto* retry = std::get_if<hls::RetryLater>(&verdict)) {
    const auto seconds = std::max<std::int64_t>(1, (retry->after.count() + 999'999) / 1'000'000);
    respond(viewer, 503, "rejected: no box has room\n", {{"Retry-After", std::to_string(seconds)}});
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
  // The rung of the signed URL holds until the policy decides on another.
  playback.rung = std::max(plan.floor, claims.rung);
  playback.hls->rung_policy.handle(now_, hls::RungDecided{playback.rung});
  if (playback.recording) {
    if (auto setups = setups_by_recording_.find(*playback.recording); setups != setups_by_recording_.end())
      setups->second.erase(playback.id);
  }
  log_event("playback_carried_over", {{"playback", log_id(playback.id)},
                                      {"sid", playback.session_id},
                                      {"title", playback.title},
                                      {"box", claims.box}});
  post_event(PlaybackAdopted{*request, *server});
  return true;
}

// ---- HLS state of ended playbacks ----

// Gives the playback its HLS state: that of an ended playback of the same key, if still kept, or a new one.
void Manager::attach_hls_state(Playback& playback) {
  if (playback.hls)
    return;
  if (const auto ended = ended_hls_states_.find(playback.key); ended != ended_hls_states_.end()) {
    playback.hls = std::move(ended->second);
    ended_hls_states_.erase(ended);
    ended_playbacks_.forget(playback.key);
  } else {
    playback.hls =
        std::make_unique<HlsState>(settings_.hls.rung_policy, settings_.policy.plans[playback.plan].floor);
  }
  // Before the playback plays, the policy hasn't decided on a rung yet.
  if (playback.playing)
    playback.hls->rung_policy.handle(now_, hls::RungDecided{playback.rung});
}

// Keeps the HLS state of a playback that has ended here, since its player may not know and may come back:
// the sequence numbers that it was shown, its URLs and its token. The oldest states are dropped beyond
// `max_ended_playbacks`.
void Manager::record_ended_playback(Playback& playback, hls::EndReason reason, Duration retry_after) {
  if (!playback.hls)
    return;
  ended_playbacks_.record(now_, playback.key, reason, retry_after);
  if (!playback.token.empty())
    playback.hls->token = playback.token;
  while (ended_hls_order_.size() >= settings_.hls.max_ended_playbacks) {
    ended_hls_states_.erase(ended_hls_order_.front());
    ended_hls_order_.pop_front();
  }
  ended_hls_states_[playback.key] = std::move(playback.hls);
  ended_hls_order_.push_back(playback.key);
}

// ---- requests to boxes ----

// Returns the target to request from the box, and notes on the connection what its response will be.
std::string Manager::box_request_target(ViewerConnection& viewer, Playback& playback,
                                        BoxConnection& connection) {
  using Resource = ViewerConnection::Resource;
  connection.collects_playlist =
      viewer.resource == Resource::multivariant_playlist || viewer.resource == Resource::media_playlist;
  connection.off_ladder =
      connection.collects_playlist || (viewer.resource == Resource::segment && viewer.claims.off_ladder);
  if (viewer.resource == Resource::object) {
    connection.rung = effective_rung(playback, viewer.media_path.rung);
    return format_media_path(settings_, viewer.media_path, connection.rung);
  }
  connection.rung = viewer.resource == Resource::segment ? viewer.claims.rung : playback.rung;
  if (viewer.resource == Resource::media_playlist) {
    viewer.source_rung = viewer.claims.rung;
    if (!viewer.claims.off_ladder && playback.hls) {
      const auto verdict =
          playback.hls->rung_policy.handle(now_, hls::MediaPlaylistRequested{viewer.claims.rung});
      const int rung = std::get<hls::UseRung>(verdict).rung;
      if (const auto found = playback.hls->media_playlists.find(rung);
          rung != viewer.claims.rung && found != playback.hls->media_playlists.end()) {
        viewer.source_rung = rung;
        connection.target = found->second;
        return found->second;
      }
    }
    connection.target = viewer.claims.path;
    return viewer.box_target;
  }
  connection.target = viewer.box_target;
  return viewer.box_target;
}

// Checks a request of a playing playback. Returns false if it was answered here, without a box.
bool Manager::admit_hls_request(ViewerConnection& viewer, Playback& playback) {
  using Resource = ViewerConnection::Resource;
  auto& hls_state = *playback.hls;
  auto& players = hls_state.players;
  const auto buffer_ms = viewer.hints.cmcd.buffer_length;
  const Duration buffer =
      std::chrono::milliseconds(std::clamp<std::int64_t>(buffer_ms.value_or(0), 0, 600'000));
  if (viewer.resource == Resource::multivariant_playlist && !players.contains(viewer.claims.player)) {
    std::erase_if(players, [&](const auto& entry) {
      return now_ - entry.second.last_seen > hls_state.rung_policy.idle_timeout();
    });
    // Guards against any number of players sharing one session id, and so one seat.
    if (players.size() >= static_cast<std::size_t>(settings_.hls.max_players)) {
      log_event("readers_too_many", {{"playback", log_id(playback.id)}});
      viewer.playback_id.reset();
      respond(viewer, 503, "too many players share this session id\n", short_retry_after());
      return false;
    }
    return true;
  }
  if (viewer.resource == Resource::multivariant_playlist)
    return true;
  if (!players.contains(viewer.claims.player) &&
      players.size() >= 2 * static_cast<std::size_t>(settings_.hls.max_players)) {
    players.erase(std::min_element(players.begin(), players.end(),
                                   [](auto& a, auto& b) { return a.second.last_seen < b.second.last_seen; }));
  }
  players[viewer.claims.player].last_seen = now_;
  hls_state.next_player = std::max(hls_state.next_player, viewer.claims.player % 250 + 1);
  if (viewer.resource == Resource::steering) {
    viewer.playback_id.reset();
    restart_idle_timer(playback);
    const nlohmann::ordered_json manifest{
        {"VERSION", 1},
        {"TTL", std::max<std::int64_t>(1, hls_state.rung_policy.idle_timeout().count() / 1'000'000 /
                                              steering_polls_per_timeout)},
        {"PATHWAY-PRIORITY", {"."}}};
    respond(viewer, 200, manifest.dump() + "\n",
            {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}});
    return false;
  }
  if (viewer.resource != Resource::segment || viewer.claims.off_ladder)
    return true;
  const auto verdict = hls_state.rung_policy.handle(now_, hls::SegmentRequested{viewer.claims.rung, buffer});
  const auto* too_high = std::get_if<hls::RungTooHigh>(&verdict);
  if (!too_high)
    return true;
  log_event("segment_too_high", {{"playback", log_id(playback.id)},
                                 {"rung", std::int64_t{viewer.claims.rung}},
                                 {"shown", std::int64_t{too_high->rung}}});
  hints::CmsdDynamic cmsd;
  cmsd.server = settings_.name;
  cmsd.max_suggested_bitrate = std::llround(rate_kb(playback, too_high->rung) * kbit_per_kb);
  viewer.playback_id.reset();
  restart_idle_timer(playback);
  respond(viewer, 404, "this rendition is no longer listed\n",
          {{"CMSD-Dynamic", hints::serialize_cmsd_entry(cmsd)}, {"Cache-Control", "no-store"}});
  return false;
}

// ---- playlist responses of boxes ----

// Buffers a playlist response until it is complete: it is rewritten as a whole.
void Manager::collect_playlist(BoxConnection& connection, http::ResponseParser::Part& part) {
  if (part.head)
    connection.content_encoding = http::combined_value(part.head->fields, "Content-Encoding");
  connection.body += part.body;
  // Guards against unbounded memory use by a response that never ends.
  if (connection.body.size() > settings_.hls.playlist_limits.bytes) {
    connection.keep_alive = false;
    return on_playlist_invalid(connection,
                               "more than " + std::to_string(settings_.hls.playlist_limits.bytes) + " bytes");
  }
  if (part.done)
    on_playlist_complete(connection);
}

// A playlist that can't be used counts as an error of the box: the try fails, or the playback loses its box.
void Manager::on_playlist_invalid(BoxConnection& connection, const std::string& cause) {
  log_event(
      "playlist_malformed",
      {{"box", box_list_.box(connection.server).name}, {"target", connection.target}, {"cause", cause}});
  const bool reusable = connection.keep_alive;
  if (connection.purpose != ConnectionPurpose::setup_try)
    return on_box_failure(connection, Outcome::error);
  const ConnectionId id = connection.id;
  on_try_failed(connection, Outcome::error, {{"cause", cause}});
  if (box_connections_.contains(id) && reusable)
    release_connection(connection, true);
}

// Decompresses and rewrites a complete playlist, and answers the viewer that requested it.
void Manager::on_playlist_complete(BoxConnection& connection) {
  auto text = std::move(connection.body);
  connection.body.clear();
  if (!connection.content_encoding.empty() && connection.content_encoding != "identity") {
    auto decompressed = connection.content_encoding == "gzip" || connection.content_encoding == "x-gzip"
                            ? gzip::decompress(text, settings_.hls.playlist_limits.bytes)
                            : std::nullopt;
    if (!decompressed)
      return on_playlist_invalid(
          connection, "the body is not valid " + connection.content_encoding + " or exceeds the size limit");
    text = std::move(*decompressed);
  }
  const auto found = playbacks_.find(*connection.playback_id);
  if (found == playbacks_.end())
    return close_box_connection(connection.id);
  auto& playback = *found->second;
  // If the viewer has disconnected meanwhile, the response still shows that the set-up succeeded.
  const auto requester = viewer_connections_.find(connection.viewer_connection);
  auto* viewer = requester == viewer_connections_.end() ? nullptr : requester->second.get();
  std::variant<std::string, hls::PlaylistError> rewritten;
  if (!viewer)
    rewritten = std::string();
  else if (viewer->resource == ViewerConnection::Resource::multivariant_playlist)
    rewritten = rewrite_multivariant_playlist(*viewer, playback, connection.target, std::move(text));
  else
    rewritten =
        rewrite_media_playlist(*viewer, playback, connection.server, connection.target, std::move(text));
  if (const auto* error = std::get_if<hls::PlaylistError>(&rewritten))
    return on_playlist_invalid(connection, error->text());
  if (connection.purpose == ConnectionPurpose::setup_try)
    on_try_succeeded(connection, nullptr);
  if (playback.objects_in_flight > 0)
    --playback.objects_in_flight;
  restart_idle_timer(playback);
  const ConnectionId requester_id = connection.viewer_connection;
  release_connection(connection, true);
  if (const auto remaining = viewer_connections_.find(requester_id); remaining != viewer_connections_.end())
    respond_with_playlist(*remaining->second, playback, std::get<std::string>(rewritten));
}

// Answers with a rewritten playlist, compressed if that is accepted and worthwhile, and with the highest
// listed bitrate in CMSD-Dynamic.
void Manager::respond_with_playlist(ViewerConnection& viewer, const Playback& playback,
                                    const std::string& text) {
  hints::CmsdDynamic cmsd;
  cmsd.server = settings_.name;
  cmsd.response_delay = (now_ - viewer.received_at).count() / 1000;
  cmsd.max_suggested_bitrate =
      std::llround(rate_kb(playback, playback.hls->rung_policy.listed()) * kbit_per_kb);
  http::Fields fields{{"Content-Type", "application/vnd.apple.mpegurl"},
                      {"Cache-Control", "no-store"},
                      {"Vary", "Accept-Encoding"},
                      {"Via", "1.1 " + settings_.name},
                      {"CMSD-Dynamic", hints::serialize_cmsd_entry(cmsd)}};
  const bool compress = text.size() >= min_bytes_to_compress &&
                        gzip::is_accepted(http::combined_value(viewer.request.fields, "Accept-Encoding"));
  if (compress)
    fields.emplace_back("Content-Encoding", "gzip");
  if (viewer.resource == ViewerConnection::Resource::multivariant_playlist) {
    // A reload at this signed URL is known to come from the same player; the mb key of CMSD-Dynamic tells the
    // player when a reload is worthwhile.
    auto claims = viewer.claims;
    claims.scope = signed_url::Claims::Scope::multivariant;
    claims.plan = playback.plan;
    claims.title = playback.title;
    claims.sid = playback.session_id;
    claims.box = box_list_.box(playback.server).name;
    claims.path = viewer.box_target;
    fields.emplace_back("Content-Location", sign_url(std::move(claims)));
  }
  const auto body = compress ? gzip::compress(text) : text;
  viewer.box_connection = 0;  // released: a viewer that reads slowly must not block the connection for others
  send_to_viewer(viewer, http::serialize_response_head(200, fields, body.size(), !viewer.close_after) + body);
  finish_response(viewer);
}

// ---- multivariant playlists ----

// Returns the rung of the ladder whose rate is nearest, by ratio, to a bandwidth in bits a second.
int Manager::nearest_rung(const Playback& playback, std::uint64_t bandwidth) const {
  int best = 0;
  double least_distance = 0;
  for (int rung = 0; rung < static_cast<int>(settings_.policy.rung_kb.size()); ++rung) {
    const double rung_bits_per_s = rate_kb(playback, rung) * 1000 * kbit_per_kb;
    const double distance =
        std::fabs(std::log(std::max(1.0, static_cast<double>(bandwidth)) / rung_bits_per_s));
    if (rung == 0 || distance < least_distance)
      best = rung, least_distance = distance;
  }
  return best;
}

// Returns the signed URL of a media playlist at the box; it covers its directory unless that is shared.
std::string Manager::rendition_url(const ViewerConnection& viewer, const Playback& playback, int rung,
                                   bool off_ladder, bool shared_directory, const std::string& path) {
  auto claims = viewer.claims;
  claims.scope = signed_url::Claims::Scope::rendition;
  claims.shared_directory = shared_directory;
  claims.off_ladder = off_ladder;
  claims.plan = playback.plan;
  claims.rung = rung;
  claims.title = playback.title;
  claims.sid = playback.session_id;
  if (claims.box.empty())
    claims.box = box_list_.box(playback.server).name;
  claims.path = path;
  return sign_url(std::move(claims));
}

// Rewrites a multivariant playlist: selects the variants that the rung policy lists, and replaces their URIs
// by signed URLs. Remembers where the media playlist of each rung is.
std::variant<std::string, hls::PlaylistError> Manager::rewrite_multivariant_playlist(
    ViewerConnection& viewer, Playback& playback, const std::string& target, std::string text) {
  auto& hls_state = *playback.hls;
  auto parsed = hls::parse_multivariant_playlist(std::move(text), settings_.hls.playlist_limits,
                                                 with_query_parameters({}, target));
  if (const auto* error = std::get_if<hls::PlaylistError>(&parsed))
    return *error;
  const auto& playlist = std::get<hls::MultivariantPlaylist>(parsed);
  // The path of each media playlist. If its directory contains the directory of another one, its signed URL
  // doesn't cover the directory, since it would give access to the other rendition too.
  struct MediaPlaylistPath {
    std::string path;
    bool shared_directory = false;
  };
  std::map<std::string, MediaPlaylistPath, std::less<>> paths;  // by URI as written in the playlist
  const auto add_path = [&](std::string_view uri) -> std::optional<hls::PlaylistError> {
    if (paths.contains(uri))
      return std::nullopt;
    const auto substituted = hls::substitute_variables(uri, playlist.variables);
    const auto resolved = substituted ? hls::resolve(target, *substituted) : hls::InvalidUri{};
    const auto* same_server = std::get_if<hls::SameServerUri>(&resolved);
    if (!same_server)
      return hls::PlaylistError{0, "a rendition is not on this box: " + std::string(uri)};
    paths[std::string(uri)] = {same_server->text, false};
    return std::nullopt;
  };
  for (const auto& variant : playlist.variants) {
    if (auto error = add_path(variant.uri.view_in(playlist.text)))
      return *error;
  }
  for (const auto& rendition : playlist.renditions) {
    if (rendition.uri.from == rendition.uri.to)
      continue;
    if (auto error = add_path(rendition.uri.view_in(playlist.text)))
      return *error;
  }
  for (const auto& frames : playlist.i_frames) {
    if (auto error = add_path(frames.uri.view_in(playlist.text)))
      return *error;
  }
  std::vector<std::pair<std::string, MediaPlaylistPath*>> directories;
  for (auto& [uri, media_path] : paths)
    directories.emplace_back(hls::directory_of(media_path.path), &media_path);
  std::sort(directories.begin(), directories.end());
  for (std::size_t i = 0; i + 1 < directories.size(); ++i) {
    if (!directories[i + 1].first.starts_with(directories[i].first))
      continue;
    directories[i].second->shared_directory = true;
    if (directories[i + 1].first == directories[i].first)
      directories[i + 1].second->shared_directory = true;
  }
  const auto verdict = hls_state.rung_policy.handle(now_, hls::MultivariantRequested{});
  const auto range = std::get<hls::ListRungs>(verdict);
  const auto pathway =
      !playlist.initial_pathway.empty() ? playlist.initial_pathway : playlist.variants.front().pathway;
  std::vector<int> rungs;
  int lowest_above_range = -1;  // listed if the box has no variant in the range
  bool any_in_range = false;
  for (const auto& variant : playlist.variants) {
    const int rung =
        nearest_rung(playback, variant.average_bandwidth ? variant.average_bandwidth : variant.bandwidth);
    rungs.push_back(rung);
    if (variant.pathway != pathway)
      continue;
    any_in_range = any_in_range || (rung >= range.low && rung <= range.high);
    if (rung >= range.low && (lowest_above_range < 0 || rung < lowest_above_range))
      lowest_above_range = rung;
  }
  if (!any_in_range && lowest_above_range < 0)
    return hls::PlaylistError{0, "no variant is allowed by the plan"};
  const int low = range.low, high = any_in_range ? range.high : lowest_above_range;
  hls::VariantSelection selection;
  std::uint64_t max_bandwidth = 0;
  hls_state.media_playlists.clear();
  hls_state.shared_directory.clear();
  for (std::size_t i = 0; i < playlist.variants.size(); ++i) {
    const auto& variant = playlist.variants[i];
    const auto& media_path = paths.find(variant.uri.view_in(playlist.text))->second;
    const bool listed = rungs[i] >= low && rungs[i] <= high && variant.pathway == pathway;
    selection.variants.push_back(listed);
    if (listed)
      max_bandwidth = std::max(max_bandwidth, variant.bandwidth);
    if (variant.pathway != pathway || rungs[i] < low)
      continue;
    hls_state.media_playlists.emplace(rungs[i], media_path.path);
    hls_state.shared_directory.emplace(rungs[i], media_path.shared_directory);
  }
  for (const auto& frames : playlist.i_frames)
    selection.i_frames.push_back(frames.bandwidth <= max_bandwidth && frames.pathway == pathway);
  hls_state.variables = playlist.variables;
  if (viewer.claims.player == 0)
    viewer.claims.player = std::exchange(hls_state.next_player, hls_state.next_player % 250 + 1);
  hls_state.players[viewer.claims.player].last_seen = now_;
  // Signed as of now and for the present box, even if this playlist was requested at an older signed URL.
  viewer.claims.expires = Duration(0);
  viewer.claims.box.clear();
  const auto rewrite_uri = [&](std::string_view uri, hls::Tag tag, std::size_t index) -> hls::RewrittenUri {
    if (tag == hls::Tag::session_data || tag == hls::Tag::session_key)
      return rewrite_playlist_uri(viewer, playback, playback.server, 0, target, playlist.variables, uri, tag);
    const auto& media_path = paths.find(uri)->second;
    const bool variant = tag == hls::Tag::stream_inf;
    return rendition_url(viewer, playback, variant ? rungs[index] : 0, !variant, media_path.shared_directory,
                         media_path.path);
  };
  std::string steering_tag;
  if (settings_.hls.direct_segments) {
    signed_url::Claims claims;
    claims.scope = signed_url::Claims::Scope::steering;
    claims.plan = playback.plan;
    claims.player = viewer.claims.player;
    claims.title = playback.title;
    claims.sid = playback.session_id;
    claims.box = box_list_.box(playback.server).name;
    steering_tag = "#EXT-X-CONTENT-STEERING:SERVER-URI=\"" + std::string(signed_url_prefix) +
                   url_keys_.sign(wall_clock(), claims) + "/" + std::string(steering_file_name) + "\"\n";
  }
  return hls::write_multivariant_playlist(playlist, selection, rewrite_uri, steering_tag);
}

// ---- media playlists ----

// Returns the parsed playlist from the cache if the text is unchanged, so that one parse serves all players.
std::variant<std::shared_ptr<const hls::MediaPlaylist>, hls::PlaylistError> Manager::parse_or_reuse_playlist(
    ServerId server, const std::string& target, std::string text, const hls::Variables& variables) {
  const std::pair key(server, target);
  auto& cached = playlist_cache_[key];
  const auto mark_used = [&] {
    if (cached.last_use)
      playlist_lru_.erase(cached.last_use);
    cached.last_use = ++playlist_uses_;
    playlist_lru_[cached.last_use] = key;
  };
  if (cached.playlist && cached.playlist->text == text) {
    mark_used();
    return cached.playlist;
  }
  auto parsed = hls::parse_media_playlist(std::move(text), settings_.hls.playlist_limits, variables,
                                          cached.playlist.get());
  if (auto* error = std::get_if<hls::PlaylistError>(&parsed)) {
    if (!cached.playlist)
      playlist_cache_.erase(key);
    return *error;
  }
  const auto size_in_bytes = [](const hls::MediaPlaylist& media) {
    return media.text.size() + media.segments.size() * sizeof(hls::Segment);
  };
  if (cached.playlist)
    playlist_cache_bytes_ -= size_in_bytes(*cached.playlist);
  cached.playlist =
      std::make_shared<const hls::MediaPlaylist>(std::get<hls::MediaPlaylist>(std::move(parsed)));
  playlist_cache_bytes_ += size_in_bytes(*cached.playlist);
  auto media = cached.playlist;
  mark_used();
  // Guards against keeping the playlists of every recording ever played: evicts the least recently used.
  while (playlist_cache_bytes_ > settings_.hls.playlist_cache_bytes && playlist_lru_.size() > 1) {
    const auto oldest = playlist_cache_.find(playlist_lru_.begin()->second);
    playlist_cache_bytes_ -= size_in_bytes(*oldest->second.playlist);
    playlist_cache_.erase(oldest);
    playlist_lru_.erase(playlist_lru_.begin());
  }
  return media;
}

// Resolves a URI in a playlist to a path at the box. Returns nothing for a URI of another service, which
// stays as it is.
hls::RewrittenUri Manager::resolve_at_box(const hls::Variables& variables, ServerId server,
                                          const std::string& base, std::string_view uri, hls::Tag tag) const {
  const auto& box = box_list_.box(server);
  const auto substituted = hls::substitute_variables(uri, variables);
  if (!substituted)
    return hls::RewriteError{"a variable is undefined"};
  const auto resolved = hls::resolve(base, *substituted);
  if (const auto* same_server = std::get_if<hls::SameServerUri>(&resolved))
    return same_server->text;
  const auto* external = std::get_if<hls::ExternalUri>(&resolved);
  if (!external)
    return hls::RewriteError{"a URI is invalid"};
  // Keys and session data may come from other services; media must come from the box.
  if (external->scheme == "http" && external->authority == box.address + ":" + std::to_string(box.port))
    return external->target;
  if (tag == hls::Tag::key || tag == hls::Tag::session_key || tag == hls::Tag::session_data ||
      external->scheme == "data")
    return {};
  return hls::RewriteError{"a URI leads to another host"};
}

// Returns the URI that replaces one in a playlist: direct to the box, relative within the rendition's
// directory, or a signed URL of its own.
hls::RewrittenUri Manager::rewrite_playlist_uri(const ViewerConnection& viewer, const Playback& playback,
                                                ServerId server, int rung, const std::string& base,
                                                const hls::Variables& variables, std::string_view uri,
                                                hls::Tag tag) {
  const auto& box = box_list_.box(server);
  auto resolved = resolve_at_box(variables, server, base, uri, tag);
  if (!std::holds_alternative<std::string>(resolved))
    return resolved;
  const auto path = std::get<std::string>(std::move(resolved));
  if (settings_.hls.direct_segments)
    return "http://" + box.address + ":" + std::to_string(box.port) + path;
  const bool same_rendition =
      viewer.resource == ViewerConnection::Resource::media_playlist && rung == viewer.claims.rung;
  const auto directory = hls::directory_of(base);
  if (same_rendition && !viewer.claims.shared_directory && path.starts_with(directory) &&
      path.size() > directory.size())
    return path.substr(directory.size());
  // Signed with the expiry time of the playlist's own URL, so that a segment has the same URL at each reload.
  auto claims = viewer.claims;
  claims.scope = signed_url::Claims::Scope::resource;
  claims.off_ladder =
      viewer.resource == ViewerConnection::Resource::media_playlist && viewer.claims.off_ladder;
  claims.shared_directory = false;
  claims.plan = playback.plan;
  claims.rung = rung;
  claims.title = playback.title;
  claims.sid = playback.session_id;
  claims.path = path;
  return sign_url(claims);
}

// Returns a signed URL. It expires when the claims say, where they are copied from another URL, or else one
// lifetime from now.
std::string Manager::sign_url(signed_url::Claims claims) {
  const Duration signed_at =
      claims.expires > Duration(0) ? claims.expires - settings_.hls.url_keys.lifetime : wall_clock();
  const auto name = std::string(file_name_of(claims.path));
  return std::string(signed_url_prefix) + url_keys_.sign(signed_at, std::move(claims)) + "/" + name;
}

// Rewrites a media playlist for one player: continues the media sequence that the player has seen, whichever
// box or rung fills it, and replaces the URIs.
std::variant<std::string, hls::PlaylistError> Manager::rewrite_media_playlist(const ViewerConnection& viewer,
                                                                              Playback& playback,
                                                                              ServerId server,
                                                                              const std::string& target,
                                                                              std::string text) {
  auto& hls_state = *playback.hls;
  auto parsed = parse_or_reuse_playlist(server, target, std::move(text),
                                        with_query_parameters(hls_state.variables, target));
  if (const auto* error = std::get_if<hls::PlaylistError>(&parsed))
    return *error;
  const auto media = std::get<std::shared_ptr<const hls::MediaPlaylist>>(parsed);
  hls_state.target_duration = media->target_duration;
  const int rung = viewer.source_rung;
  // Guards against a playlist with an invalid URI becoming part of a player's continuity state: the URIs
  // are checked before it is applied.
  for (const auto& uri : media->non_plain_uris) {
    const auto resolved =
        resolve_at_box(media->variables, server, target, uri.range.view_in(media->text), uri.tag);
    if (const auto* invalid = std::get_if<hls::RewriteError>(&resolved))
      return hls::error_at(media->text, uri.range.from, invalid->cause);
  }
  auto& continuities = hls_state.players[viewer.claims.player].continuities;
  const auto existing = continuities.find(viewer.claims.path);
  hls::Window complete_window;
  const hls::Window* window = &complete_window;
  // A playlist that is complete at the first request needs no continuity state.
  if (media->ended && existing == continuities.end()) {
    complete_window.slices.push_back(
        {media, 0, static_cast<std::uint32_t>(media->segments.size()), server, rung, false});
    complete_window.media_sequence = media->media_sequence;
    complete_window.discontinuity_sequence = media->discontinuity_sequence;
    hls_state.rung_policy.handle(now_, hls::TargetDurationRead{media->target_duration, false});
  } else {
    hls_state.rung_policy.handle(now_, hls::TargetDurationRead{media->target_duration, true});
    const auto sibling = std::find_if(continuities.begin(), continuities.end(),
                                      [&](const auto& entry) { return entry.first != viewer.claims.path; });
    const hls::Continuity* sibling_continuity = sibling == continuities.end() ? nullptr : &sibling->second;
    auto& continuity = continuities[viewer.claims.path];
    const auto result = continuity.apply(now_, {media, server, rung}, sibling_continuity);
    window = &continuity.window();
    if (result.step == hls::ContinuityResult::Step::unchanged &&
        result.unchanged_for > unchanged_log_targets * media->target_duration)
      log_event("playlist_stands", {{"playback", log_id(playback.id)},
                                    {"box", box_list_.box(server).name},
                                    {"ms", result.unchanged_for.count() / 1000}});
    if (result.step == hls::ContinuityResult::Step::skipped ||
        result.step == hls::ContinuityResult::Step::restarted)
      log_event("playlist_broke",
                {{"playback", log_id(playback.id)},
                 {"box", box_list_.box(server).name},
                 {"cause", std::string(result.step == hls::ContinuityResult::Step::skipped
                                           ? "segments between the playlists are missing"
                                           : "the playlist can't be aligned with the previous one")}});
    if (window->slices.empty())
      return media->text;
  }
  const auto base_path = [&](const hls::PlaylistSlice& slice) -> const std::string& {
    if (slice.rung != viewer.claims.rung && !viewer.claims.off_ladder) {
      if (const auto found = hls_state.media_playlists.find(slice.rung);
          found != hls_state.media_playlists.end())
        return found->second;
    }
    return viewer.claims.path;
  };
  // By rung: the signed URL prefix of its rendition, shared by all segments that come from it.
  std::map<int, std::string> prefixes;
  hls::WriteOptions options;
  options.delta_update = viewer.delta_update;
  options.is_relocated = [&](const hls::PlaylistSlice& slice) {
    return settings_.hls.direct_segments || viewer.claims.shared_directory ||
           slice.rung != viewer.claims.rung;
  };
  options.rewrite_uri = [&](const hls::PlaylistSlice& slice, std::string_view uri,
                            hls::Tag tag) -> hls::RewrittenUri {
    const auto& base = base_path(slice);
    const auto shared_directory = hls_state.shared_directory.find(slice.rung);
    if (!settings_.hls.direct_segments && !viewer.claims.shared_directory &&
        slice.rung != viewer.claims.rung &&
        (shared_directory == hls_state.shared_directory.end() || !shared_directory->second) &&
        hls::is_plain_file_name(uri)) {
      auto& prefix = prefixes[slice.rung];
      if (prefix.empty()) {
        prefix = rendition_url(viewer, playback, slice.rung, viewer.claims.off_ladder, false, base);
        prefix.resize(prefix.rfind('/') + 1);
      }
      return prefix + std::string(uri);
    }
    return rewrite_playlist_uri(viewer, playback, slice.source, slice.rung, base, slice.playlist->variables,
                                uri, tag);
  };
  return hls::write_media_playlist(*window, options);
}

}  // namespace violettide::manager
