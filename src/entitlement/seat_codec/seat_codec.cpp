#include "entitlement/seat_codec/seat_codec.h"

#include "peers.pb.h"

namespace violettide::entitlement {

namespace {

using wire::SeatWord;

// The fields that every kind of message has.
template <typename Body>
SeatWord with_common_fields(SeatWord::Kind kind, const Body& message) {
  SeatWord proto;
  proto.set_kind(kind);
  proto.set_team(message.key.team);
  proto.set_who(message.key.viewer_session);
  proto.set_number(message.number);
  return proto;
}

SeatWord to_proto(const SeatRequest& message) {
  auto proto = with_common_fields(SeatWord::ASK, message);
  proto.set_seats(message.seats);
  proto.set_issued_us(message.issued.count());
  proto.set_until_us(message.until.count());
  return proto;
}
SeatWord to_proto(const SeatGrant& message) {
  auto proto = with_common_fields(SeatWord::GIVEN, message);
  proto.set_until_us(message.until.count());
  return proto;
}
SeatWord to_proto(const SeatRefusal& message) {
  auto proto = with_common_fields(SeatWord::REFUSED, message);
  proto.set_free_in_us(message.free_in.count());
  return proto;
}
SeatWord to_proto(const SeatRelease& message) {
  auto proto = with_common_fields(SeatWord::GIVE_BACK, message);
  proto.set_until_us(message.until.count());
  return proto;
}
SeatWord to_proto(const SeatReleaseAck& message) { return with_common_fields(SeatWord::GIVEN_BACK, message); }
SeatWord to_proto(const SeatRevocation& message) { return with_common_fields(SeatWord::TAKEN, message); }

}  // namespace

std::string encode(const Message& message) {
  return std::visit([](const auto& body) { return to_proto(body).SerializeAsString(); }, message);
}

std::optional<Message> decode_message(std::string_view bytes) {
  SeatWord proto;
  if (!proto.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  const SeatKey key{proto.team(), proto.who()};
  if (key.team.empty() || key.viewer_session.empty())
    return std::nullopt;
  switch (proto.kind()) {
    case SeatWord::ASK:
      return SeatRequest{key, proto.number(), proto.seats(), Duration(proto.issued_us()),
                         Duration(proto.until_us())};
    case SeatWord::GIVEN:
      return SeatGrant{key, proto.number(), Duration(proto.until_us())};
    case SeatWord::REFUSED:
      return SeatRefusal{key, proto.number(), Duration(proto.free_in_us())};
    case SeatWord::GIVE_BACK:
      return SeatRelease{key, proto.number(), Duration(proto.until_us())};
    case SeatWord::GIVEN_BACK:
      return SeatReleaseAck{key, proto.number()};
    case SeatWord::TAKEN:
      return SeatRevocation{key, proto.number()};
    default:
      return std::nullopt;
  }
}

std::string encode(const Record& record) {
  wire::SeatRecord proto;
  proto.set_what(static_cast<std::uint32_t>(record.kind));
  proto.set_team(record.key.team);
  proto.set_who(record.key.viewer_session);
  proto.set_holder(record.holder);
  proto.set_number(record.number);
  proto.set_seats(record.seats);
  proto.set_issued_us(record.issued.count());
  proto.set_until_us(record.until.count());
  return proto.SerializeAsString();
}

std::optional<Record> decode_record(std::string_view bytes) {
  wire::SeatRecord proto;
  if (!proto.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || proto.what() > 3)
    return std::nullopt;
  return Record{static_cast<Record::Kind>(proto.what()),
                {proto.team(), proto.who()},
                proto.holder(),
                proto.number(),
                proto.seats(),
                Duration(proto.issued_us()),
                Duration(proto.until_us())};
}

}  // namespace violettide::entitlement
