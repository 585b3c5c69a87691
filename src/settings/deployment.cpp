// The builtins of settings scripts, and the checks across calls that a single argument's type and range don't
// cover.
#include "settings/deployment.h"

#include <algorithm>

namespace violettide::settings {

namespace {

using namespace std::chrono_literals;

// The default value of a parameter.
template <typename T>
std::optional<Value> default_value(T value) {
  return Value{std::move(value), {}};
}
std::optional<Value> default_number(double value) { return default_value(value); }
std::optional<Value> default_integer(std::int64_t value) { return default_value(value); }
constexpr std::nullopt_t required = std::nullopt;
constexpr double day_s = 86400;

}  // namespace

std::vector<Builtin> deployment_builtins() {
  using enum ValueType;
  return {
      {"ladder", {{"rates", rates, required, 0.001, 1e9}, {"revenue", numbers, required, 0, 1e9}}, true},
      {"plan",
       {{"name", string, required},
        {"startup_target", duration, required, 0.001, day_s},
        {"abandon", duration, required, 0.001, day_s},
        {"revenue", number, default_number(1), 0, 1e9},
        {"rate_scale", number, default_number(1), 0.001, 1000},
        {"floor", integer, default_integer(0), 0, 64},
        {"top", integer, default_integer(64), 0, 64},
        {"seats", integer, default_integer(0), 0, 1e6},
        {"pay_at_setup", boolean, default_value(false)}}},
      {"hall", {{"name", string, required}}},
      {"kind", {{"streams", integer, required, 1, 1e6}}},
      {"fleet",
       {{"cells", integer, required, 1, 1e5},
        {"racks", integer, required, 1, 1e5},
        {"copies", integer, default_integer(3), 1, 1e5},
        {"link", rate, required, 0.001, 1e9},
        {"uplink", rate, default_value(Rate{0}), 0, 1e9},
        {"weights_told", boolean, default_value(true)}},
       true},
      {"rules",
       {{"cold", duration, default_value(Duration(0)), 0, day_s},
        {"cold_from", fraction, default_number(1)},
        {"overload_multiple", number, default_number(1), 0.01, 1000},
        {"fall", duration, default_value(Duration(3s)), 0.001, day_s},
        {"drain_grace", duration, default_value(Duration(2s)), 0, day_s},
        {"tries", integer, default_integer(5), 1, 100},
        {"budget_window", duration, default_value(Duration(0)), 0, day_s},
        {"budget_free", number, default_number(0), 0, 1e6},
        {"budget_share", fraction, default_number(0)},
        {"longest_come_back", duration, default_value(Duration(2s)), 0, day_s}},
       true},
      {"probes",
       {{"allowed", boolean, default_value(true)},
        {"price", number, default_number(0), 0, 1000},
        {"limit", duration, default_value(Duration(250ms)), 0.001, 60}},
       true},
      {"objects",
       {{"length", duration, required, 0.05, 60},
        {"note_lag", duration, default_value(Duration(1s)), 0, 60},
        {"switch_cost", duration, default_value(Duration(500ms)), 0, 60}},
       true},
      {"box_list",
       {{"address", string, default_value(std::string("127.0.0.1"))},
        {"port", integer, default_integer(0), 0, 65535},
        {"every", duration, default_value(Duration(500ms)), 0.01, 3600}},
       true},
      {"listen",
       {{"address", string, default_value(std::string("127.0.0.1"))},
        {"port", integer, default_integer(0), 0, 65535}},
       true},
      {"control",
       {{"address", string, default_value(std::string("127.0.0.1"))},
        {"port", integer, default_integer(0), 0, 65535}},
       true},
      {"catalogue",
       {{"feed_address", string, default_value(std::string("127.0.0.1"))},
        {"feed_port", integer, default_integer(0), 0, 65535},
        {"feed_wait", duration, default_value(Duration(10s)), 0.01, 30},
        {"shrink_believed", fraction, default_number(0.7)}},
       true},
      {"front",
       {{"name", string, default_value(std::string("front"))},
        {"hall", string, default_value(std::string())},
        {"fronts", integer, default_integer(1), 1, 1e5},
        {"crossing_price", number, default_number(0), 0, 1000},
        {"keep_in", string, default_value(std::string())}},
       true},
      {"limits",
       {{"viewer_links", integer, default_integer(10000), 1, 1e6},
        {"links_per_box", integer, default_integer(256), 1, 1e5},
        {"idle_links_per_box", integer, default_integer(16), 0, 1e5},
        {"unsent", integer, default_integer(256 * 1024), 1024, 1e9},
        {"header_bytes", integer, default_integer(16 * 1024), 512, 1e7},
        {"fields", integer, default_integer(100), 4, 1e4},
        {"connect", duration, default_value(Duration(250ms)), 0.001, 60},
        {"silence", duration, default_value(Duration(10s)), 0.1, day_s},
        {"stop", duration, default_value(Duration(5s)), 0.01, 3600}},
       true},
      {"hls",
       {{"secrets", strings, default_value(List{})},
        {"secrets_from", string, default_value(std::string())},
        {"direct", boolean, default_value(false)},
        {"lifetime", duration, default_value(Duration(6h)), 1, 30 * day_s},
        {"period", duration, default_value(Duration(1h)), 1, 30 * day_s},
        {"players", integer, default_integer(4), 1, 100},
        {"list_bytes", integer, default_integer(8 * 1024 * 1024), 1024, 1e9},
        {"list_segments", integer, default_integer(100'000), 1, 1e7},
        {"kept_bytes", integer, default_integer(64 * 1024 * 1024), 1024, 1e11},
        {"steady", number, default_number(3), 0, 1000},
        {"grace", number, default_number(3), 0, 1000}},
       true},
      {"entitlement",
       {{"issuer", string, required},
        {"audience", string, default_value(std::string())},
        {"keys_address", string, default_value(std::string("127.0.0.1"))},
        {"keys_port", integer, default_integer(0), 0, 65535},
        {"keys_path", string, default_value(std::string("/keys"))},
        {"skew", duration, default_value(Duration(5s)), 0, 3600},
        {"grace", duration, default_value(Duration(30s)), 0, day_s},
        {"resume", duration, default_value(Duration(15s)), 0, 3600},
        {"ask_limit", duration, default_value(Duration(1s)), 0.01, 60},
        {"keys_every", duration, default_value(Duration(5min)), 0.1, day_s},
        {"keys_least", duration, default_value(Duration(10s)), 0.1, day_s},
        {"keys_kept", duration, default_value(Duration(1h)), 1, 30 * day_s},
        {"tokens_kept", integer, default_integer(10'000), 1, 1e7},
        {"longest_come_back", duration, default_value(Duration(30s)), 1, 3600}},
       true},
      {"peer",
       {{"name", string, required},
        {"address", string, default_value(std::string("127.0.0.1"))},
        {"port", integer, required, 1, 65535}}},
      {"peers",
       {{"key", string, default_value(std::string())}, {"key_from", string, default_value(std::string())}},
       true},
      {"recording",
       {{"title", string, required},
        {"first_cell", integer, required, 0, 1e5},
        {"copies", integer, default_integer(3), 1, 1e5},
        {"length", duration, default_value(Duration(0)), 0, day_s}}},
  };
}

std::variant<Deployment, Diagnostics> build_deployment(const std::vector<Call>& calls) {
  Deployment deployment;
  Diagnostics diagnostics;
  auto& front = deployment.front;
  auto& policy = front.policy;
  const Call* ladder = nullptr;
  const Call* fleet = nullptr;
  const Call* objects = nullptr;
  const Call* front_call = nullptr;
  const auto report_error = [&](const SourceLocation& location, std::string message) {
    diagnostics.push_back({location, std::move(message)});
  };
  for (const auto& call : calls) {
    if (call.name == "ladder") {
      ladder = &call;
      policy.rung_kb = call.rates("rates");
      policy.rung_revenue = call.numbers("revenue");
      if (policy.rung_kb.empty())
        report_error(call.location_of("rates"), "a ladder needs at least one rung");
      if (policy.rung_kb.size() != policy.rung_revenue.size())
        report_error(call.location_of("revenue"),
                     "the ladder has " + std::to_string(policy.rung_kb.size()) + " rates and " +
                         std::to_string(policy.rung_revenue.size()) + " revenues");
      if (!std::is_sorted(policy.rung_kb.begin(), policy.rung_kb.end()))
        report_error(call.location_of("rates"), "the rates of a ladder must not decrease from rung to rung");
    } else if (call.name == "plan") {
      manager::Plan plan{call.string("name"), call.duration("abandon")};
      PlanSettings plan_settings;
      plan_settings.startup_target = call.duration("startup_target");
      plan_settings.pay_at_setup = call.boolean("pay_at_setup");
      plan_settings.revenue = call.number("revenue");
      plan_settings.rate_scale = call.number("rate_scale");
      plan_settings.floor = static_cast<int>(call.integer("floor"));
      plan_settings.top = static_cast<int>(call.integer("top"));
      plan_settings.seats = static_cast<int>(call.integer("seats"));
      if (plan.abandon_time < plan_settings.startup_target)
        report_error(call.location_of("abandon"), "the abandon time is shorter than the startup target");
      if (plan.name.empty() || plan.name.find('/') != std::string::npos)
        report_error(call.location_of("name"),
                     "a plan's name must not be empty or contain '/', as it is a segment of the media path");
      for (const auto& other : front.plans) {
        if (other.name == plan.name)
          report_error(call.location_of("name"), "two plans named '" + plan.name + "'");
      }
      front.plans.push_back(std::move(plan));
      policy.plans.push_back(plan_settings);
    } else if (call.name == "hall") {
      if (std::find(front.halls.begin(), front.halls.end(), call.string("name")) != front.halls.end())
        report_error(call.location_of("name"), "two halls named '" + call.string("name") + "'");
      front.halls.push_back(call.string("name"));
    } else if (call.name == "kind") {
      policy.streams_by_kind.push_back(static_cast<double>(call.integer("streams")));
    } else if (call.name == "fleet") {
      fleet = &call;
      policy.cells = static_cast<int>(call.integer("cells"));
      policy.racks = static_cast<int>(call.integer("racks"));
      front.default_cell_count = static_cast<int>(call.integer("copies"));
      deployment.link_kb_per_s = policy.link_kb_per_weight = call.kb_per_s("link");
      deployment.uplink_kb_per_s = policy.uplink_kb = call.kb_per_s("uplink");
      policy.has_weights = call.boolean("weights_told");
      if (front.default_cell_count > policy.cells)
        report_error(call.location_of("copies"), "more copies than cells");
    } else if (call.name == "rules") {
      policy.warmup_time = call.duration("cold");
      policy.warmup_initial_share = call.number("cold_from");
      policy.overload_multiple = call.number("overload_multiple");
      deployment.overload_window = call.duration("fall");
      deployment.drain_grace = call.duration("drain_grace");
      policy.max_tries = static_cast<int>(call.integer("tries"));
      policy.retry_budget_window = call.duration("budget_window");
      policy.retry_budget_base = call.number("budget_free");
      policy.retry_budget_share = call.number("budget_share");
      policy.max_retry_after = call.duration("longest_come_back");
    } else if (call.name == "probes") {
      policy.probes_enabled = call.boolean("allowed");
      policy.probe_cost = call.number("price");
      front.probe_timeout = call.duration("limit");
    } else if (call.name == "objects") {
      objects = &call;
      front.object_duration = call.duration("length");
      policy.measurement_delay = call.duration("note_lag");
      policy.switch_cost = call.duration("switch_cost");
    } else if (call.name == "box_list") {
      front.box_list_address = call.string("address");
      front.box_list_port = static_cast<std::uint16_t>(call.integer("port"));
      front.box_list_interval = call.duration("every");
    } else if (call.name == "listen") {
      deployment.listen_address = call.string("address");
      deployment.listen_port = static_cast<std::uint16_t>(call.integer("port"));
    } else if (call.name == "control") {
      deployment.control_address = call.string("address");
      deployment.control_port = static_cast<std::uint16_t>(call.integer("port"));
    } else if (call.name == "catalogue") {
      front.has_catalogue = true;
      front.feed_address = call.string("feed_address");
      front.feed_port = static_cast<std::uint16_t>(call.integer("feed_port"));
      front.feed_wait = call.duration("feed_wait");
      front.replica.min_remaining_share = call.number("shrink_believed");
    } else if (call.name == "front") {
      front_call = &call;
      front.name = call.string("name");
      policy.front_count = static_cast<int>(call.integer("fronts"));
      policy.cross_hall_cost = call.number("crossing_price");
      deployment.state_directory = call.string("keep_in");
    } else if (call.name == "limits") {
      front.max_viewer_connections = static_cast<std::size_t>(call.integer("viewer_links"));
      front.max_connections_per_box = static_cast<std::size_t>(call.integer("links_per_box"));
      front.max_idle_connections_per_box = static_cast<std::size_t>(call.integer("idle_links_per_box"));
      front.max_unsent_bytes = static_cast<std::size_t>(call.integer("unsent"));
      front.http_limits.max_header_bytes = static_cast<std::uint32_t>(call.integer("header_bytes"));
      front.http_limits.max_fields = static_cast<std::size_t>(call.integer("fields"));
      front.connect_timeout = call.duration("connect");
      front.idle_timeout = call.duration("silence");
      front.shutdown_timeout = call.duration("stop");
    } else if (call.name == "hls") {
      deployment.hls_enabled = true;
      deployment.hls_secrets_file = call.string("secrets_from");
      auto& hls = front.hls;
      hls.url_keys.secrets = call.strings("secrets");
      for (const auto& secret : hls.url_keys.secrets) {
        if (secret.empty())
          report_error(call.location_of("secrets"), "a secret must not be empty");
      }
      hls.direct_segments = call.boolean("direct");
      hls.url_keys.lifetime = call.duration("lifetime");
      hls.url_keys.key_period = call.duration("period");
      hls.max_players = static_cast<int>(call.integer("players"));
      hls.playlist_limits.bytes = static_cast<std::size_t>(call.integer("list_bytes"));
      hls.playlist_limits.segments = static_cast<std::size_t>(call.integer("list_segments"));
      hls.playlist_cache_bytes = static_cast<std::size_t>(call.integer("kept_bytes"));
      hls.rung_policy.raise_delay_targets = call.number("steady");
      hls.rung_policy.unlisted_grace_targets = call.number("grace");
    } else if (call.name == "entitlement") {
      auto& entitlement = front.entitlement;
      entitlement.enabled = true;
      entitlement.token_validator.issuer = call.string("issuer");
      entitlement.token_validator.audience = call.string("audience");
      entitlement.token_validator.skew = entitlement.ledger.skew = call.duration("skew");
      entitlement.token_validator.grace = call.duration("grace");
      entitlement.token_validator.fetch_interval = call.duration("keys_every");
      entitlement.token_validator.min_fetch_interval = call.duration("keys_least");
      entitlement.token_validator.max_key_age = call.duration("keys_kept");
      entitlement.token_validator.max_cached_valid = entitlement.token_validator.max_cached_invalid =
          static_cast<std::size_t>(call.integer("tokens_kept"));
      entitlement.ledger.resume_window = call.duration("resume");
      entitlement.ledger.claim_timeout = call.duration("ask_limit");
      entitlement.keys_address = call.string("keys_address");
      entitlement.keys_port = static_cast<std::uint16_t>(call.integer("keys_port"));
      entitlement.keys_path = call.string("keys_path");
      entitlement.max_retry_after = call.duration("longest_come_back");
    } else if (call.name == "peer") {
      for (const auto& other : front.peers.managers) {
        if (other.name == call.string("name"))
          report_error(call.location_of("name"), "two managers named '" + call.string("name") + "'");
      }
      front.peers.managers.push_back(
          {call.string("name"), call.string("address"), static_cast<std::uint16_t>(call.integer("port"))});
    } else if (call.name == "peers") {
      front.peers.key = call.string("key");
      deployment.peers_key_file = call.string("key_from");
    } else if (call.name == "recording") {
      manager::Recording recording{
          call.string("title"),
          {static_cast<int>(call.integer("first_cell")), static_cast<int>(call.integer("copies")), {}}};
      if (const auto length = call.duration("length"); length > Duration(0))
        recording.holders.length = length;
      front.recordings.push_back(std::move(recording));
    }
  }
  const SourceLocation file_start =
      calls.empty() ? SourceLocation{} : SourceLocation{calls.front().location.file, 1, 1};
  if (!ladder)
    report_error(file_start, "the settings lack 'ladder'");
  if (!fleet)
    report_error(file_start, "the settings lack 'fleet'");
  if (!objects)
    report_error(file_start, "the settings lack 'objects'");
  if (front.plans.empty())
    report_error(file_start, "the settings lack a 'plan'");
  // A signed URL holds the index of its plan in one byte.
  if (deployment.hls_enabled && front.plans.size() > 256)
    report_error(file_start, "more than 256 plans with 'hls'");
  if (front.halls.empty())
    report_error(file_start, "the settings lack a 'hall'");
  if (policy.streams_by_kind.empty())
    report_error(file_start, "the settings lack a 'kind' of box");
  const int last_rung = static_cast<int>(policy.rung_kb.size()) - 1;
  std::size_t plan_index = 0;
  for (const auto& call : calls) {
    if (call.name != "plan" || plan_index >= policy.plans.size())
      continue;
    auto& plan_settings = policy.plans[plan_index++];
    if (ladder && plan_settings.floor > last_rung)
      report_error(call.location_of("floor"),
                   "the floor is above the ladder's last rung, " + std::to_string(last_rung));
    plan_settings.top = std::clamp(plan_settings.top, 0, std::max(0, last_rung));
    if (plan_settings.top < plan_settings.floor)
      report_error(call.location_of("top"), "the top rung is below the floor");
  }
  if (front_call && !front_call->string("hall").empty()) {
    const auto hall = std::find(front.halls.begin(), front.halls.end(), front_call->string("hall"));
    if (hall == front.halls.end())
      report_error(front_call->location_of("hall"), "no hall named '" + front_call->string("hall") + "'");
    else
      policy.own_hall = static_cast<int>(hall - front.halls.begin());
  }
  std::stable_sort(front.recordings.begin(), front.recordings.end(),
                   [](auto& a, auto& b) { return a.title < b.title; });
  for (std::size_t i = 1; i < front.recordings.size(); ++i) {
    if (front.recordings[i].title == front.recordings[i - 1].title)
      report_error(file_start, "two recordings titled '" + front.recordings[i].title + "'");
  }
  if (!diagnostics.empty())
    return diagnostics;
  return deployment;
}

std::variant<Deployment, Diagnostics> read_deployment(const std::string& path,
                                                      const FileReader& file_reader) {
  const auto builtins = deployment_builtins();
  auto script = evaluate_script(path, builtins, file_reader);
  if (!script.diagnostics.empty())
    return std::move(script.diagnostics);
  return build_deployment(script.calls);
}

}  // namespace violettide::settings
