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
  word.set_who(said.key.who);
  word.set_number(said.number);
  return word;
}

SeatWord word_of(const AskSeat& m) {
  auto word = begun(SeatWord::ASK, m);
  word.set_seats(m.seats);
  word.set_issued_us(m.issued.count());
  word.set_until_us(m.until.count());
  return word;
}
SeatWord word_of(const SeatGiven& m) {
  auto word = begun(SeatWord::GIVEN, m);
  word.set_until_us(m.until.count());
  return word;
}
SeatWord word_of(const SeatRefused& m) {
  auto word = begun(SeatWord::REFUSED, m);
  word.set_free_in_us(m.free_in.count());
  return word;
}
SeatWord word_of(const GiveBack& m) {
  auto word = begun(SeatWord::GIVE_BACK, m);
  word.set_until_us(m.until.count());
  return word;
}
SeatWord word_of(const GivenBack& m) { return begun(SeatWord::GIVEN_BACK, m); }
SeatWord word_of(const SeatTaken& m) { return begun(SeatWord::TAKEN, m); }

}  // namespace

std::string bytes_of(const Message& message) {
  return std::visit([](const auto& said) { return word_of(said).SerializeAsString(); }, message);
}

std::optional<Message> read_message(std::string_view bytes) {
  SeatWord word;
  if (!word.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  const SeatKey key{word.team(), word.who()};
  if (key.team.empty() || key.who.empty())
    return std::nullopt;
  switch (word.kind()) {
    case SeatWord::ASK:
      return AskSeat{key, word.number(), word.seats(), Duration(word.issued_us()), Duration(word.until_us())};
    case SeatWord::GIVEN:
      return SeatGiven{key, word.number(), Duration(word.until_us())};
    case SeatWord::REFUSED:
      return SeatRefused{key, word.number(), Duration(word.free_in_us())};
    case SeatWord::GIVE_BACK:
      return GiveBack{key, word.number(), Duration(word.until_us())};
    case SeatWord::GIVEN_BACK:
      return GivenBack{key, word.number()};
    case SeatWord::TAKEN:
      return SeatTaken{key, word.number()};
    default:
      return std::nullopt;
  }
}

std::string bytes_of(const Record& record) {
  wire::SeatRecord made;
  made.set_what(static_cast<std::uint32_t>(record.what));
  made.set_team(record.key.team);
  made.set_who(record.key.who);
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
  return Record{static_cast<Record::What>(read.what()),
                {read.team(), read.who()},
                read.holder(),
                read.number(),
                read.seats(),
                Duration(read.issued_us()),
                Duration(read.until_us())};
}

}  // namespace violettide::entitlement
