#include "settings/deployment.h"

#include <algorithm>

namespace violettide::settings {

namespace {

using namespace std::chrono_literals;

template <typename Held>
std::optional<Value> as(Held held) {
  return Value{std::move(held), {}};
}
std::optional<Value> of(double value) { return as(value); }
std::optional<Value> count(std::int64_t value) { return as(value); }
constexpr std::nullopt_t given = std::nullopt;
constexpr double day_s = 86400;

}  // namespace

std::vector<Builtin> deployment_builtins() {
  using enum Wants;
  return {
      {"ladder", {{"rates", rates, given, 0.001, 1e9}, {"revenue", numbers, given, 0, 1e9}}, true},
      {"plan",
       {{"name", text, given},
        {"startup_target", span, given, 0.001, day_s},
        {"abandon", span, given, 0.001, day_s},
        {"revenue", number, of(1), 0, 1e9},
        {"rate_scale", number, of(1), 0.001, 1000},
        {"floor", whole, count(0), 0, 64},
        {"top", whole, count(64), 0, 64},
        {"seats", whole, count(0), 0, 1e6},
        {"pay_at_setup", flag, as(false)}}},
      {"hall", {{"name", text, given}}},
      {"kind", {{"streams", whole, given, 1, 1e6}}},
      {"fleet",
       {{"cells", whole, given, 1, 1e5},
        {"racks", whole, given, 1, 1e5},
        {"copies", whole, count(3), 1, 1e5},
        {"link", rate, given, 0.001, 1e9},
        {"uplink", rate, as(Rate{0}), 0, 1e9},
        {"weights_told", flag, as(true)}},
       true},
      {"rules",
       {{"cold", span, as(Duration(0)), 0, day_s},
        {"cold_from", part, of(1)},
        {"overload_multiple", number, of(1), 0.01, 1000},
        {"fall", span, as(Duration(3s)), 0.001, day_s},
        {"drain_grace", span, as(Duration(2s)), 0, day_s},
        {"tries", whole, count(5), 1, 100},
        {"budget_window", span, as(Duration(0)), 0, day_s},
        {"budget_free", number, of(0), 0, 1e6},
        {"budget_share", part, of(0)},
        {"longest_come_back", span, as(Duration(2s)), 0, day_s}},
       true},
      {"probes",
       {{"allowed", flag, as(true)},
        {"price", number, of(0), 0, 1000},
        {"limit", span, as(Duration(250ms)), 0.001, 60}},
       true},
      {"objects",
       {{"length", span, given, 0.05, 60},
        {"note_lag", span, as(Duration(1s)), 0, 60},
        {"switch_cost", span, as(Duration(500ms)), 0, 60}},
       true},
      {"box_list",
       {{"address", text, as(std::string("127.0.0.1"))},
        {"port", whole, count(0), 0, 65535},
        {"every", span, as(Duration(500ms)), 0.01, 3600}},
       true},
      {"listen",
       {{"address", text, as(std::string("127.0.0.1"))}, {"port", whole, count(0), 0, 65535}},
       true},
      {"control",
       {{"address", text, as(std::string("127.0.0.1"))}, {"port", whole, count(0), 0, 65535}},
       true},
      {"catalogue",
       {{"feed_address", text, as(std::string("127.0.0.1"))},
        {"feed_port", whole, count(0), 0, 65535},
        {"feed_wait", span, as(Duration(10s)), 0.01, 30},
        {"shrink_believed", part, of(0.7)}},
       true},
      {"front",
       {{"name", text, as(std::string("front"))},
        {"hall", text, as(std::string())},
        {"fronts", whole, count(1), 1, 1e5},
        {"crossing_price", number, of(0), 0, 1000},
        {"keep_in", text, as(std::string())}},
       true},
      {"limits",
       {{"viewer_links", whole, count(10000), 1, 1e6},
        {"links_per_box", whole, count(256), 1, 1e5},
        {"idle_links_per_box", whole, count(16), 0, 1e5},
        {"unsent", whole, count(256 * 1024), 1024, 1e9},
        {"header_bytes", whole, count(16 * 1024), 512, 1e7},
        {"fields", whole, count(100), 4, 1e4},
        {"connect", span, as(Duration(250ms)), 0.001, 60},
        {"silence", span, as(Duration(10s)), 0.1, day_s},
        {"stop", span, as(Duration(5s)), 0.01, 3600}},
       true},
      {"hls",
       {{"secrets", texts, as(ListOf{})},
        {"secrets_from", text, as(std::string())},
        {"direct", flag, as(false)},
        {"lifetime", span, as(Duration(6h)), 1, 30 * day_s},
        {"period", span, as(Duration(1h)), 1, 30 * day_s},
        {"players", whole, count(4), 1, 100},
        {"list_bytes", whole, count(8 * 1024 * 1024), 1024, 1e9},
        {"list_segments", whole, count(100'000), 1, 1e7},
        {"kept_bytes", whole, count(64 * 1024 * 1024), 1024, 1e11},
        {"steady", number, of(3), 0, 1000},
        {"grace", number, of(3), 0, 1000}},
       true},
      {"entitlement",
       {{"issuer", text, given},
        {"audience", text, as(std::string())},
        {"keys_address", text, as(std::string("127.0.0.1"))},
        {"keys_port", whole, count(0), 0, 65535},
        {"keys_path", text, as(std::string("/keys"))},
        {"skew", span, as(Duration(5s)), 0, 3600},
        {"grace", span, as(Duration(30s)), 0, day_s},
        {"resume", span, as(Duration(15s)), 0, 3600},
        {"ask_limit", span, as(Duration(1s)), 0.01, 60},
        {"keys_every", span, as(Duration(5min)), 0.1, day_s},
        {"keys_least", span, as(Duration(10s)), 0.1, day_s},
        {"keys_kept", span, as(Duration(1h)), 1, 30 * day_s},
        {"tokens_kept", whole, count(10'000), 1, 1e7},
        {"longest_come_back", span, as(Duration(30s)), 1, 3600}},
       true},
      {"peer",
       {{"name", text, given},
        {"address", text, as(std::string("127.0.0.1"))},
        {"port", whole, given, 1, 65535}}},
      {"peers", {{"key", text, as(std::string())}, {"key_from", text, as(std::string())}}, true},
      {"recording",
       {{"title", text, given},
        {"first_cell", whole, given, 0, 1e5},
        {"copies", whole, count(3), 1, 1e5},
        {"length", span, as(Duration(0)), 0, day_s}}},
  };
}

std::variant<Deployment, Mistakes> deployment_of(const std::vector<Call>& calls) {
  Deployment made;
  Mistakes mistakes;
  auto& front = made.front;
  auto& site = front.policy;
  const Call* ladder = nullptr;
  const Call* fleet = nullptr;
  const Call* objects = nullptr;
  const Call* own = nullptr;
  const auto wrong = [&](const Place& place, std::string cause) {
    mistakes.push_back({place, std::move(cause)});
  };
  for (const auto& call : calls) {
    if (call.name == "ladder") {
      ladder = &call;
      site.rung_kb = call.rates("rates");
      site.rung_revenue = call.numbers("revenue");
      if (site.rung_kb.empty())
        wrong(call.place_of("rates"), "a ladder has one rung at least");
      if (site.rung_kb.size() != site.rung_revenue.size())
        wrong(call.place_of("revenue"), "the ladder has " + std::to_string(site.rung_kb.size()) +
                                            " rates and " + std::to_string(site.rung_revenue.size()) +
                                            " revenues");
      if (!std::is_sorted(site.rung_kb.begin(), site.rung_kb.end()))
        wrong(call.place_of("rates"), "the rates of a ladder rise from rung to rung");
    } else if (call.name == "plan") {
      manager::Plan plan{call.text("name"), call.span("abandon")};
      PlanSettings terms;
      terms.startup_target = call.span("startup_target");
      terms.pay_at_setup = call.flag("pay_at_setup");
      terms.revenue = call.number("revenue");
      terms.rate_scale = call.number("rate_scale");
      terms.floor = static_cast<int>(call.whole("floor"));
      terms.top = static_cast<int>(call.whole("top"));
      terms.seats = static_cast<int>(call.whole("seats"));
      if (plan.abandon_time < terms.startup_target)
        wrong(call.place_of("abandon"), "viewers would leave before the startup target");
      if (plan.name.empty() || plan.name.find('/') != std::string::npos)
        wrong(call.place_of("name"), "a plan's name is a part of a path");
      for (const auto& other : front.plans) {
        if (other.name == plan.name)
          wrong(call.place_of("name"), "two plans named '" + plan.name + "'");
      }
      front.plans.push_back(std::move(plan));
      site.plans.push_back(terms);
    } else if (call.name == "hall") {
      if (std::find(front.halls.begin(), front.halls.end(), call.text("name")) != front.halls.end())
        wrong(call.place_of("name"), "two halls named '" + call.text("name") + "'");
      front.halls.push_back(call.text("name"));
    } else if (call.name == "kind") {
      site.streams_by_kind.push_back(static_cast<double>(call.whole("streams")));
    } else if (call.name == "fleet") {
      fleet = &call;
      site.cells = static_cast<int>(call.whole("cells"));
      site.racks = static_cast<int>(call.whole("racks"));
      front.default_cell_count = static_cast<int>(call.whole("copies"));
      made.link_kb = site.link_kb_per_weight = call.kb_per_s("link");
      made.uplink_kb = site.uplink_kb = call.kb_per_s("uplink");
      site.has_weights = call.flag("weights_told");
      if (front.default_cell_count > site.cells)
        wrong(call.place_of("copies"), "more copies than cells");
    } else if (call.name == "rules") {
      site.warmup_time = call.span("cold");
      site.warmup_initial_share = call.number("cold_from");
      site.overload_multiple = call.number("overload_multiple");
      made.fall = call.span("fall");
      made.drain_grace = call.span("drain_grace");
      site.max_tries = static_cast<int>(call.whole("tries"));
      site.retry_budget_window = call.span("budget_window");
      site.retry_budget_base = call.number("budget_free");
      site.retry_budget_share = call.number("budget_share");
      site.max_retry_after = call.span("longest_come_back");
    } else if (call.name == "probes") {
      site.probes_enabled = call.flag("allowed");
      site.probe_cost = call.number("price");
      front.probe_timeout = call.span("limit");
    } else if (call.name == "objects") {
      objects = &call;
      front.object_duration = call.span("length");
      site.measurement_delay = call.span("note_lag");
      site.switch_cost = call.span("switch_cost");
    } else if (call.name == "box_list") {
      front.box_list_address = call.text("address");
      front.box_list_port = static_cast<std::uint16_t>(call.whole("port"));
      front.box_list_interval = call.span("every");
    } else if (call.name == "listen") {
      made.listen_address = call.text("address");
      made.listen_port = static_cast<std::uint16_t>(call.whole("port"));
    } else if (call.name == "control") {
      made.control_address = call.text("address");
      made.control_port = static_cast<std::uint16_t>(call.whole("port"));
    } else if (call.name == "catalogue") {
      front.has_catalogue = true;
      front.feed_address = call.text("feed_address");
      front.feed_port = static_cast<std::uint16_t>(call.whole("feed_port"));
      front.feed_wait = call.span("feed_wait");
      front.replica.min_remaining_share = call.number("shrink_believed");
    } else if (call.name == "front") {
      own = &call;
      front.name = call.text("name");
      site.front_count = static_cast<int>(call.whole("fronts"));
      site.cross_hall_cost = call.number("crossing_price");
      made.keep_in = call.text("keep_in");
    } else if (call.name == "limits") {
      front.max_viewer_connections = static_cast<std::size_t>(call.whole("viewer_links"));
      front.max_connections_per_box = static_cast<std::size_t>(call.whole("links_per_box"));
      front.max_idle_connections_per_box = static_cast<std::size_t>(call.whole("idle_links_per_box"));
      front.max_unsent_bytes = static_cast<std::size_t>(call.whole("unsent"));
      front.http_limits.max_header_bytes = static_cast<std::uint32_t>(call.whole("header_bytes"));
      front.http_limits.max_fields = static_cast<std::size_t>(call.whole("fields"));
      front.connect_timeout = call.span("connect");
      front.idle_timeout = call.span("silence");
      front.shutdown_timeout = call.span("stop");
    } else if (call.name == "hls") {
      made.hls = true;
      made.hls_secrets_from = call.text("secrets_from");
      auto& terms = front.hls;
      terms.url_keys.secrets = call.texts("secrets");
      for (const auto& secret : terms.url_keys.secrets) {
        if (secret.empty())
          wrong(call.place_of("secrets"), "an empty secret signs nothing");
      }
      terms.direct_segments = call.flag("direct");
      terms.url_keys.lifetime = call.span("lifetime");
      terms.url_keys.key_period = call.span("period");
      terms.max_players = static_cast<int>(call.whole("players"));
      terms.playlist_limits.bytes = static_cast<std::size_t>(call.whole("list_bytes"));
      terms.playlist_limits.segments = static_cast<std::size_t>(call.whole("list_segments"));
      terms.playlist_cache_bytes = static_cast<std::size_t>(call.whole("kept_bytes"));
      terms.rung_policy.raise_delay_targets = call.number("steady");
      terms.rung_policy.unlisted_grace_targets = call.number("grace");
    } else if (call.name == "entitlement") {
      auto& terms = front.entitlement;
      terms.enabled = true;
      terms.token_validator.issuer = call.text("issuer");
      terms.token_validator.audience = call.text("audience");
      terms.token_validator.skew = terms.ledger.skew = call.span("skew");
      terms.token_validator.grace = call.span("grace");
      terms.token_validator.fetch_interval = call.span("keys_every");
      terms.token_validator.min_fetch_interval = call.span("keys_least");
      terms.token_validator.max_key_age = call.span("keys_kept");
      terms.token_validator.max_cached_valid = terms.token_validator.max_cached_invalid =
          static_cast<std::size_t>(call.whole("tokens_kept"));
      terms.ledger.resume_window = call.span("resume");
      terms.ledger.claim_timeout = call.span("ask_limit");
      terms.keys_address = call.text("keys_address");
      terms.keys_port = static_cast<std::uint16_t>(call.whole("keys_port"));
      terms.keys_path = call.text("keys_path");
      terms.max_retry_after = call.span("longest_come_back");
    } else if (call.name == "peer") {
      for (const auto& other : front.peers.managers) {
        if (other.name == call.text("name"))
          wrong(call.place_of("name"), "two managers named '" + call.text("name") + "'");
      }
      front.peers.managers.push_back(
          {call.text("name"), call.text("address"), static_cast<std::uint16_t>(call.whole("port"))});
    } else if (call.name == "peers") {
      front.peers.key = call.text("key");
      made.peers_key_from = call.text("key_from");
    } else if (call.name == "recording") {
      manager::Recording recording{
          call.text("title"),
          {static_cast<int>(call.whole("first_cell")), static_cast<int>(call.whole("copies")), {}}};
      if (const auto length = call.span("length"); length > Duration(0))
        recording.holders.length = length;
      front.recordings.push_back(std::move(recording));
    }
  }
  const Place whole_file = calls.empty() ? Place{} : Place{calls.front().place.file, 1, 1};
  if (!ladder)
    wrong(whole_file, "the settings lack 'ladder'");
  if (!fleet)
    wrong(whole_file, "the settings lack 'fleet'");
  if (!objects)
    wrong(whole_file, "the settings lack 'objects'");
  if (front.plans.empty())
    wrong(whole_file, "the settings lack a 'plan'");
  // An address names its plan in one byte.
  if (made.hls && front.plans.size() > 256)
    wrong(whole_file, "more than 256 plans with 'hls'");
  if (front.halls.empty())
    wrong(whole_file, "the settings lack a 'hall'");
  if (site.streams_by_kind.empty())
    wrong(whole_file, "the settings lack a 'kind' of box");
  const int last = static_cast<int>(site.rung_kb.size()) - 1;
  std::size_t plan = 0;
  for (const auto& call : calls) {
    if (call.name != "plan" || plan >= site.plans.size())
      continue;
    auto& terms = site.plans[plan++];
    if (ladder && terms.floor > last)
      wrong(call.place_of("floor"), "the ladder's last rung is " + std::to_string(last));
    terms.top = std::clamp(terms.top, 0, std::max(0, last));
    if (terms.top < terms.floor)
      wrong(call.place_of("top"), "the top rung lies under the floor");
  }
  if (own && !own->text("hall").empty()) {
    const auto at = std::find(front.halls.begin(), front.halls.end(), own->text("hall"));
    if (at == front.halls.end())
      wrong(own->place_of("hall"), "no hall named '" + own->text("hall") + "'");
    else
      site.own_hall = static_cast<int>(at - front.halls.begin());
  }
  std::stable_sort(front.recordings.begin(), front.recordings.end(),
                   [](auto& a, auto& b) { return a.title < b.title; });
  for (std::size_t i = 1; i < front.recordings.size(); ++i) {
    if (front.recordings[i].title == front.recordings[i - 1].title)
      wrong(whole_file, "two recordings titled '" + front.recordings[i].title + "'");
  }
  if (!mistakes.empty())
    return mistakes;
  return made;
}

std::variant<Deployment, Mistakes> read_deployment(const std::string& path, const Files& files) {
  const auto builtins = deployment_builtins();
  auto read = read_script(path, builtins, files);
  if (!read.mistakes.empty())
    return std::move(read.mistakes);
  return deployment_of(read.calls);
}

}  // namespace violettide::settings
