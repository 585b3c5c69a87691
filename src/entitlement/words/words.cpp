#include "entitlement/words/words.h"

#include "peers.pb.h"

namespace violettide::entitlement {

namespace {

using wire::SeatWord;

template <typename Said>
SeatWord begun(SeatWord::Kind kind, const Said& said) {
  SeatWord word;
  word.set_kind(kind);
  word.set_team(said.key.team);
  word.set_who(said.key.viewer_session);
  word.set_number(said.number);
  return word;
}

SeatWord word_of(const SeatRequest& m) {
  auto word = begun(SeatWord::ASK, m);
  word.set_seats(m.seats);
  word.set_issued_us(m.issued.count());
  word.set_until_us(m.until.count());
  return word;
}
SeatWord word_of(const SeatGrant& m) {
  auto word = begun(SeatWord::GIVEN, m);
  word.set_until_us(m.until.count());
  return word;
}
SeatWord word_of(const SeatRefusal& m) {
  auto word = begun(SeatWord::REFUSED, m);
  word.set_free_in_us(m.free_in.count());
  return word;
}
SeatWord word_of(const SeatRelease& m) {
  auto word = begun(SeatWord::GIVE_BACK, m);
  word.set_until_us(m.until.count());
  return word;
}
SeatWord word_of(const SeatReleaseAck& m) { return begun(SeatWord::GIVEN_BACK, m); }
SeatWord word_of(const SeatRevocation& m) { return begun(SeatWord::TAKEN, m); }

}  // namespace

std::string bytes_of(const Message& message) {
  return std::visit([](const auto& said) { return word_of(said).SerializeAsString(); }, message);
}

std::optional<Message> read_message(std::string_view bytes) {
  SeatWord word;
  if (!word.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  const SeatKey key{word.team(), word.who()};
  if (key.team.empty() || key.viewer_session.empty())
    return std::nullopt;
  switch (word.kind()) {
    case SeatWord::ASK:
      return SeatRequest{key, word.number(), word.seats(), Span(word.issued_us()), Span(word.until_us())};
    case SeatWord::GIVEN:
      return SeatGrant{key, word.number(), Span(word.until_us())};
    case SeatWord::REFUSED:
      return SeatRefusal{key, word.number(), Span(word.free_in_us())};
    case SeatWord::GIVE_BACK:
      return SeatRelease{key, word.number(), Span(word.until_us())};
    case SeatWord::GIVEN_BACK:
      return SeatReleaseAck{key, word.number()};
    case SeatWord::TAKEN:
      return SeatRevocation{key, word.number()};
    default:
      return std::nullopt;
  }
}

std::string bytes_of(const Record& record) {
  wire::SeatRecord made;
  made.set_what(static_cast<std::uint32_t>(record.kind));
  made.set_team(record.key.team);
  made.set_who(record.key.viewer_session);
  made.set_holder(record.holder);
  made.set_number(record.number);
  made.set_seats(record.seats);
  made.set_issued_us(record.issued.count());
  made.set_until_us(record.until.count());
  return made.SerializeAsString();
}

std::optional<Record> read_record(std::string_view bytes) {
  wire::SeatRecord read;
  if (!read.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || read.what() > 3)
    return std::nullopt;
  return Record{static_cast<Record::Kind>(read.what()),
                {read.team(), read.who()},
                read.holder(),
                read.number(),
                read.seats(),
                Span(read.issued_us()),
                Span(read.until_us())};
}

}  // namespace violettide::entitlement
