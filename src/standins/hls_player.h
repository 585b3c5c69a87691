// What a stand-in HLS player does with the playlists it is given: reads them by its own lights, picks a
// variant by what the line gives, asks for segment after segment, and notes whatever a playlist must not do.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace violettide::standins {

class HlsPlayer {
 public:
  // `lists`: the target of the multivariant playlist. `most_bits`: no variant above it is asked.
  HlsPlayer(std::string lists, double most_bits) : lists_(std::move(lists)), most_bits_(most_bits) {}

  struct Ask {
    enum class Kind { lists, media, audio, segment } kind = Kind::lists;
    std::string target;
  };
  // What to ask now, or after how many seconds to see again. Nothing: it has been played to its end.
  // `buffered`, `room`: seconds of media held, and that may be held.
  std::variant<std::monostate, Ask, double> next(double at, double buffered, double room);
  // How long the last segment took, and what the front suggests as the highest rate (CMSD, mb); 0: nothing.
  void line(double took, double suggested_bits);
  void lists_again_at(std::string target) { lists_again_ = std::move(target); }
  // The whole answer, 200. True: it was a segment that counts as played on.
  bool took(double at, const Ask& ask, const std::string& body);
  // 404 for a segment: its rendition is not listed any more, or the box lacks it.
  void refused(const Ask& ask);
  // The connection broke: what is asked next may be answered by another process.
  void broke() {
    parted_ = true;
    for (auto& [target, media] : media_)
      media.items.clear();
  }
  double segment_length() const { return length_; }
  int rung() const { return rung_; }
  std::size_t skipped() const { return skipped_; }
  std::vector<std::string> take_wrongs() { return std::exchange(wrongs_, {}); }

 private:
  struct Item {
    std::uint64_t number = 0;
    double begins = 0;  // by the recording's clock, or from its beginning
    double length = 0;
    bool breaks = false;
    std::string target;
  };
  struct Media {
    std::string target;
    double read_at = -1e9;
    double target_length = 1;
    bool ended = false, dated = false;
    std::uint64_t first = 0, end = 0;
    std::map<std::uint64_t, std::string> seen;  // by number, as far as it is listed still
    std::vector<Item> items;
  };
  struct Variant {
    double bits = 0;
    std::string target;
    bool refused = false;
  };
  void read_lists(const std::string& body);
  void read_media(double at, Media& media, const std::string& body);
  void wrong(std::string what) { wrongs_.push_back(std::move(what)); }
  static std::string beside(const std::string& playlist, const std::string& uri);

  std::string lists_, lists_again_;
  double most_bits_ = 0, suggested_ = 0, listed_at_ = 0, pace_ = 1;
  std::vector<Variant> variants_;  // rising
  std::string audio_;
  std::map<std::string, Media> media_;
  std::size_t at_variant_ = 0;
  bool began_ = false, parted_ = false;
  double reached_ = -1;  // where the next segment must begin
  std::optional<Item> out_;
  std::int64_t last_stamp_ = -1;
  double length_ = 0.5;
  int rung_ = 0;
  std::size_t skipped_ = 0, refusals_ = 0;
  std::vector<std::string> wrongs_;
};

}  // namespace violettide::standins
