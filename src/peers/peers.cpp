#include "peers/peers.h"

#include <algorithm>
#include <utility>

#include "peers.pb.h"
#include "signing/signing.h"

namespace violettide::peers {

namespace {

constexpr std::uint32_t version = 1;
constexpr std::size_t challenge_bytes = 32, mac_bytes = 16, length_bytes = 4;

std::string framed(const std::string& bytes) {
  std::string made;
  for (int shift = 24; shift >= 0; shift -= 8)
    made += static_cast<char>(bytes.size() >> shift & 0xff);
  return made + bytes;
}

// The next whole frame; nothing: more bytes are wanted. Too long a one is told.
std::optional<std::string> next_frame(std::string& got, std::size_t most, bool& too_long) {
  if (got.size() < length_bytes)
    return std::nullopt;
  std::size_t size = 0;
  for (std::size_t i = 0; i < length_bytes; ++i)
    size = size << 8 | static_cast<unsigned char>(got[i]);
  too_long = size > most;
  if (too_long || got.size() < length_bytes + size)
    return std::nullopt;
  auto frame = got.substr(length_bytes, size);
  got.erase(0, length_bytes + size);
  return frame;
}

}  // namespace

std::string Peers::mac(std::string_view challenge, std::string_view body) const {
  return signing::hmac_sha256(terms_.key, std::string(challenge).append(body)).substr(0, mac_bytes);
}

void Peers::send(Span now, PeerIndex to, std::uint32_t kind, std::string payload,
                 std::vector<Action>& actions) {
  if (to >= out_.size() || to == terms_.own)
    return;
  auto& out = out_[to];
  if (out.waiting.size() >= terms_.most_waiting) {
    out.waiting.pop_front();  // the oldest: what matters still is sent again
    if (!std::exchange(out.told_full, true))
      remarks_.push_back("messages to " + terms_.all[to].name + " are dropped: too many wait");
  }
  out.waiting.emplace_back(kind, std::move(payload));
  if (out.link == 0 && now >= out.dial_at)
    dial(now, to, actions);
  flush(to, actions);
}

void Peers::dial(Span now, PeerIndex to, std::vector<Action>& actions) {
  auto& out = out_[to];
  out.link = next_link_++;
  out.challenged = false;
  out.got.clear();
  out.count = 0;
  // Until it is seen to work, the next attempt waits.
  out.pause = out.pause == Span(0) ? terms_.dial_again : std::min(terms_.dial_longest, 2 * out.pause);
  out.dial_at = now + out.pause;
  dialed_[out.link] = to;
  actions.push_back(Dial{out.link, terms_.all[to].address, terms_.all[to].port});
}

void Peers::flush(PeerIndex to, std::vector<Action>& actions) {
  auto& out = out_[to];
  if (out.link == 0 || !out.challenged)
    return;
  while (!out.waiting.empty()) {
    wire::Body body;
    body.set_version(version);
    body.set_count(++out.count);
    body.set_from(terms_.all[terms_.own].name);
    body.set_to(terms_.all[to].name);
    body.set_kind(out.waiting.front().first);
    body.set_payload(std::move(out.waiting.front().second));
    out.waiting.pop_front();
    wire::Frame frame;
    frame.set_body(body.SerializeAsString());
    frame.set_mac(mac(out.challenge, frame.body()));
    actions.push_back(Send{out.link, framed(frame.SerializeAsString())});
  }
}

void Peers::accepted(Span now, Link link, std::vector<Action>& actions) {
  auto& in = came_[link];
  // Never the same twice, nor to be told before: by the key, the time and a count.
  in.challenge = signing::hmac_sha256(
                     terms_.key, "challenge " + terms_.all[terms_.own].name + std::to_string(now.count()) +
                                     "." + std::to_string(link) + "." + std::to_string(++challenges_))
                     .substr(0, challenge_bytes);
  actions.push_back(Send{link, framed(in.challenge)});
}

void Peers::refuse(Link link, const std::string& cause, std::vector<Action>& actions) {
  remarks_.push_back(cause);
  actions.push_back(Close{link, false});
  came_.erase(link);
}

std::vector<Heard> Peers::received(Link link, std::string_view bytes, std::vector<Action>& actions) {
  std::vector<Heard> heard;
  bool too_long = false;
  if (const auto dialed = dialed_.find(link); dialed != dialed_.end()) {
    auto& out = out_[dialed->second];
    out.got.append(bytes);
    const auto frame = out.challenged ? std::nullopt : next_frame(out.got, challenge_bytes, too_long);
    if (frame && frame->size() == challenge_bytes) {
      out.challenge = *frame;
      out.challenged = true;
      out.pause = Span(0);
      out.told_full = false;
      flush(dialed->second, actions);
    } else if (too_long || out.challenged || frame) {
      // Nothing else is said on this side: who says it is no manager.
      remarks_.push_back("no challenge from " + terms_.all[dialed->second].name);
      actions.push_back(Close{link, false});
      out.link = 0;
      dialed_.erase(dialed);
    }
    return heard;
  }
  const auto found = came_.find(link);
  if (found == came_.end())
    return heard;
  auto& in = found->second;
  in.got.append(bytes);
  while (const auto bytes_of = next_frame(in.got, terms_.most_frame, too_long)) {
    wire::Frame frame;
    wire::Body body;
    const auto whom = in.from ? " from " + terms_.all[*in.from].name : std::string();
    if (!frame.ParseFromString(*bytes_of) || frame.mac().size() != mac_bytes)
      return refuse(link, "no frame" + whom, actions), heard;
    const auto own = mac(in.challenge, frame.body());
    if (!signing::equal_constant_time(own, frame.mac()))
      return refuse(link, "a frame that is not signed with the hall's key" + whom, actions), heard;
    if (!body.ParseFromString(frame.body()))
      return refuse(link, "no body" + whom, actions), heard;
    if (body.version() != version)
      return refuse(link, "version " + std::to_string(body.version()) + " is not spoken here" + whom,
                    actions),
             heard;
    if (body.count() != in.count + 1 || body.to() != terms_.all[terms_.own].name)
      return refuse(link, "a frame of another connection, or one is missing" + whom, actions), heard;
    in.count = body.count();
    if (!in.from) {
      for (PeerIndex peer = 0; peer < terms_.all.size(); ++peer) {
        if (terms_.all[peer].name == body.from() && peer != terms_.own)
          in.from = peer;
      }
      if (!in.from)
        return refuse(link, "no manager is named '" + body.from() + "'", actions), heard;
    } else if (terms_.all[*in.from].name != body.from()) {
      return refuse(link, "two names on one connection", actions), heard;
    }
    heard.push_back({*in.from, body.kind(), std::move(*body.mutable_payload())});
  }
  if (too_long)
    refuse(link, "a frame of more than " + std::to_string(terms_.most_frame) + " bytes", actions);
  return heard;
}

void Peers::ended(Span now, Link link) {
  came_.erase(link);
  const auto dialed = dialed_.find(link);
  if (dialed == dialed_.end())
    return;
  auto& out = out_[dialed->second];
  out.link = 0;
  out.challenged = false;
  out.dial_at = std::max(out.dial_at, now);
  dialed_.erase(dialed);
}

void Peers::time_passed(Span now, std::vector<Action>& actions) {
  for (PeerIndex to = 0; to < out_.size(); ++to) {
    if (out_[to].link == 0 && !out_[to].waiting.empty() && now >= out_[to].dial_at)
      dial(now, to, actions);
  }
}

}  // namespace violettide::peers
