#include "peers/peers.h"

#include <algorithm>
#include <utility>

#include "peers.pb.h"
#include "signing/signing.h"

namespace violettide::peers {

namespace {

constexpr std::uint32_t version = 1;
constexpr std::size_t challenge_bytes = 32, mac_bytes = 16, length_bytes = 4;

std::string with_length_prefix(const std::string& bytes) {
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8)
    frame += static_cast<char>(bytes.size() >> shift & 0xff);
  return frame + bytes;
}

// Removes the next complete frame from the buffer; nothing if more bytes are needed. Sets `too_long` if the
// frame is longer than `max_bytes`.
std::optional<std::string> next_frame(std::string& buffer, std::size_t max_bytes, bool& too_long) {
  if (buffer.size() < length_bytes)
    return std::nullopt;
  std::size_t size = 0;
  for (std::size_t i = 0; i < length_bytes; ++i)
    size = size << 8 | static_cast<unsigned char>(buffer[i]);
  too_long = size > max_bytes;
  if (too_long || buffer.size() < length_bytes + size)
    return std::nullopt;
  auto frame = buffer.substr(length_bytes, size);
  buffer.erase(0, length_bytes + size);
  return frame;
}

}  // namespace

std::string Peers::mac(std::string_view challenge, std::string_view body) const {
  return signing::hmac_sha256(settings_.key, std::string(challenge).append(body)).substr(0, mac_bytes);
}

void Peers::send(Duration now, PeerIndex to, std::uint32_t kind, std::string payload,
                 std::vector<Action>& actions) {
  if (to >= outgoing_.size() || to == settings_.self)
    return;
  auto& outgoing = outgoing_[to];
  if (outgoing.queue.size() >= settings_.max_queued) {
    outgoing.queue.pop_front();  // the oldest one: senders resend what still matters
    if (!std::exchange(outgoing.overflow_reported, true))
      warnings_.push_back("messages to " + settings_.managers[to].name + " are dropped: the queue is full");
  }
  outgoing.queue.emplace_back(kind, std::move(payload));
  if (outgoing.link == 0 && now >= outgoing.dial_at)
    dial(now, to, actions);
  flush(to, actions);
}

void Peers::dial(Duration now, PeerIndex to, std::vector<Action>& actions) {
  auto& outgoing = outgoing_[to];
  outgoing.link = next_link_++;
  outgoing.challenged = false;
  outgoing.buffer.clear();
  outgoing.partial_frame_since.reset();
  outgoing.frame_count = 0;
  // Doubles the delay until a challenge arrives, which shows that the connection works.
  outgoing.redial_pause = outgoing.redial_pause == Duration(0)
                              ? settings_.redial_delay
                              : std::min(settings_.max_redial_delay, 2 * outgoing.redial_pause);
  outgoing.dial_at = now + outgoing.redial_pause;
  dialed_[outgoing.link] = to;
  actions.push_back(Dial{outgoing.link, settings_.managers[to].address, settings_.managers[to].port});
}

void Peers::flush(PeerIndex to, std::vector<Action>& actions) {
  auto& outgoing = outgoing_[to];
  if (outgoing.link == 0 || !outgoing.challenged)
    return;
  while (!outgoing.queue.empty()) {
    wire::Body body;
    body.set_version(version);
    body.set_count(++outgoing.frame_count);
    body.set_from(settings_.managers[settings_.self].name);
    body.set_to(settings_.managers[to].name);
    body.set_kind(outgoing.queue.front().first);
    body.set_payload(std::move(outgoing.queue.front().second));
    outgoing.queue.pop_front();
    wire::Frame frame;
    frame.set_body(body.SerializeAsString());
    frame.set_mac(mac(outgoing.challenge, frame.body()));
    actions.push_back(Send{outgoing.link, with_length_prefix(frame.SerializeAsString())});
  }
}

void Peers::on_accepted(Duration now, ConnectionId link, std::vector<Action>& actions) {
  auto& incoming = incoming_[link];
  // Unique and unpredictable: derived from the key, the time, the connection and a counter.
  incoming.challenge =
      signing::hmac_sha256(settings_.key, "challenge " + settings_.managers[settings_.self].name +
                                              std::to_string(now.count()) + "." + std::to_string(link) + "." +
                                              std::to_string(++challenge_count_))
          .substr(0, challenge_bytes);
  actions.push_back(Send{link, with_length_prefix(incoming.challenge)});
}

void Peers::reject(ConnectionId link, const std::string& cause, std::vector<Action>& actions) {
  warnings_.push_back(cause);
  actions.push_back(Close{link, false});
  incoming_.erase(link);
}

std::vector<ReceivedMessage> Peers::on_received(ConnectionId link, std::string_view bytes,
                                                std::vector<Action>& actions) {
  std::vector<ReceivedMessage> messages;
  bool too_long = false;
  if (const auto dialed = dialed_.find(link); dialed != dialed_.end()) {
    auto& outgoing = outgoing_[dialed->second];
    outgoing.buffer.append(bytes);
    const auto frame =
        outgoing.challenged ? std::nullopt : next_frame(outgoing.buffer, challenge_bytes, too_long);
    if (frame && frame->size() == challenge_bytes) {
      outgoing.challenge = *frame;
      outgoing.challenged = true;
      outgoing.redial_pause = Duration(0);
      outgoing.overflow_reported = false;
      flush(dialed->second, actions);
    } else if (too_long || outgoing.challenged || frame) {
      // A manager sends nothing but one challenge in this direction.
      warnings_.push_back("malformed or repeated challenge from " + settings_.managers[dialed->second].name);
      actions.push_back(Close{link, false});
      outgoing.link = 0;
      dialed_.erase(dialed);
    }
    return messages;
  }
  const auto found = incoming_.find(link);
  if (found == incoming_.end())
    return messages;
  auto& incoming = found->second;
  incoming.buffer.append(bytes);
  while (const auto frame_bytes = next_frame(incoming.buffer, settings_.max_frame_bytes, too_long)) {
    incoming.partial_frame_since.reset();
    wire::Frame frame;
    wire::Body body;
    const auto sender = incoming.from ? " from " + settings_.managers[*incoming.from].name : std::string();
    if (!frame.ParseFromString(*frame_bytes) || frame.mac().size() != mac_bytes)
      return reject(link, "malformed frame" + sender, actions), messages;
    const auto expected_mac = mac(incoming.challenge, frame.body());
    if (!signing::equal_constant_time(expected_mac, frame.mac()))
      return reject(link, "a frame that is not signed with the hall's key" + sender, actions), messages;
    if (!body.ParseFromString(frame.body()))
      return reject(link, "malformed frame body" + sender, actions), messages;
    if (body.version() != version)
      return reject(link, "protocol version " + std::to_string(body.version()) + " is not supported" + sender,
                    actions),
             messages;
    if (body.count() != incoming.frame_count + 1 || body.to() != settings_.managers[settings_.self].name)
      return reject(link, "a frame is missing, repeated or meant for another manager" + sender, actions),
             messages;
    incoming.frame_count = body.count();
    if (!incoming.from) {
      for (PeerIndex peer = 0; peer < settings_.managers.size(); ++peer) {
        if (settings_.managers[peer].name == body.from() && peer != settings_.self)
          incoming.from = peer;
      }
      if (!incoming.from)
        return reject(link, "unknown manager '" + body.from() + "'", actions), messages;
    } else if (settings_.managers[*incoming.from].name != body.from()) {
      return reject(link, "the sender's name changed within a connection", actions), messages;
    }
    messages.push_back({*incoming.from, body.kind(), std::move(*body.mutable_payload())});
  }
  if (too_long)
    reject(link, "a frame is longer than " + std::to_string(settings_.max_frame_bytes) + " bytes", actions);
  return messages;
}

void Peers::on_closed(Duration now, ConnectionId link) {
  incoming_.erase(link);
  const auto dialed = dialed_.find(link);
  if (dialed == dialed_.end())
    return;
  auto& outgoing = outgoing_[dialed->second];
  outgoing.link = 0;
  outgoing.challenged = false;
  outgoing.dial_at = std::max(outgoing.dial_at, now);
  dialed_.erase(dialed);
}

template <typename Link>
bool Peers::is_overdue(Duration now, Link& link) const {
  if (link.buffer.empty())
    link.partial_frame_since.reset();
  else if (!link.partial_frame_since)
    link.partial_frame_since = now;
  return link.partial_frame_since && now - *link.partial_frame_since > settings_.frame_timeout;
}

// Guards against taking the frames that follow for the rest of one that never becomes whole.
void Peers::close_overdue(Duration now, std::vector<Action>& actions) {
  std::vector<ConnectionId> overdue;
  for (auto& [link, incoming] : incoming_) {
    if (is_overdue(now, incoming))
      overdue.push_back(link);
  }
  for (const auto link : overdue) {
    const auto& from = incoming_.at(link).from;
    reject(link,
           "a frame was not completed in time" + (from ? " from " + settings_.managers[*from].name : ""),
           actions);
  }
  for (PeerIndex to = 0; to < outgoing_.size(); ++to) {
    auto& outgoing = outgoing_[to];
    if (outgoing.link == 0 || outgoing.challenged || !is_overdue(now, outgoing))
      continue;
    warnings_.push_back("the challenge of " + settings_.managers[to].name + " was not completed in time");
    actions.push_back(Close{outgoing.link, false});
    on_closed(now, outgoing.link);
  }
}

void Peers::on_tick(Duration now, std::vector<Action>& actions) {
  close_overdue(now, actions);
  for (PeerIndex to = 0; to < outgoing_.size(); ++to) {
    if (outgoing_[to].link == 0 && !outgoing_[to].queue.empty() && now >= outgoing_[to].dial_at)
      dial(now, to, actions);
  }
}

}  // namespace violettide::peers
