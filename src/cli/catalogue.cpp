// The catalogue's sub-commands: files of a recording a line, plain or zstd, read in bounded memory; and a
// manager's resource on a connection of its own.
#include <unistd.h>
#include <zstd.h>

#include <cstdio>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "cataloguewire/json.h"
#include "cli/commands.h"
#include "http/http.h"
#include "runtime/runtime.h"

namespace violettide::cli {

namespace {

using namespace std::chrono_literals;
constexpr std::size_t most_line = 4 * 1024 * 1024;

struct Unreadable {
  std::string what;
};

// A file's lines, one after another.
class Lines {
 public:
  explicit Lines(const std::string& path)
      : path_(path),
        file_(std::fopen(path.c_str(), "rb"), &std::fclose),
        context_(ZSTD_createDCtx(), ZSTD_freeDCtx),
        raw_(256 * 1024),
        space_(256 * 1024) {
    if (!file_)
      throw Unreadable{path + ": can't be read"};
  }
  std::size_t number() const { return number_; }  // of the last line given
  // The next line that is not empty.
  std::optional<std::string> next() {
    for (;;) {
      const auto end = plain_.find('\n', from_);
      if (end != std::string::npos) {
        auto line = plain_.substr(from_, end - from_);
        from_ = end + 1;
        ++number_;
        if (!line.empty())
          return line;
        continue;
      }
      plain_.erase(0, from_);
      from_ = 0;
      if (plain_.size() > most_line)
        throw Unreadable{path_ + ":" + std::to_string(number_ + 1) + ": a line of over 4 MiB"};
      if (!more()) {
        if (unfinished_ != 0)
          throw Unreadable{path_ + ": after line " + std::to_string(number_) +
                           ": the zstd stream is cut off"};
        if (plain_.empty())
          return std::nullopt;
        ++number_;
        return std::exchange(plain_, {});
      }
    }
  }

 private:
  bool more() {
    const auto count = std::fread(raw_.data(), 1, raw_.size(), file_.get());
    if (count == 0)
      return false;
    if (std::exchange(first_, false))
      zstd_ = count >= 4 && std::string_view(raw_.data(), 4) == "\x28\xb5\x2f\xfd";
    if (!zstd_) {
      plain_.append(raw_.data(), count);
      return true;
    }
    ZSTD_inBuffer in{raw_.data(), count, 0};
    while (in.pos < in.size) {
      ZSTD_outBuffer out{space_.data(), space_.size(), 0};
      unfinished_ = ZSTD_decompressStream(context_.get(), &out, &in);
      if (ZSTD_isError(unfinished_))
        throw Unreadable{path_ + ": after line " + std::to_string(number_) + ": " +
                         ZSTD_getErrorName(unfinished_)};
      plain_.append(space_.data(), out.pos);
    }
    return true;
  }
  std::string path_;
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
  std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context_;
  std::vector<char> raw_, space_;
  std::string plain_;
  std::size_t from_ = 0, number_ = 0, unfinished_ = 0;
  bool first_ = true, zstd_ = false;
};

catalogue::Recording recording_at(const std::string& path, std::size_t number, std::string_view line) {
  auto read = cataloguewire::read_recording(line);
  if (const auto* bad = std::get_if<cataloguewire::JsonError>(&read))
    throw Unreadable{path + ":" + std::to_string(number) + ": " + bad->place + ": " + bad->cause};
  return std::get<catalogue::Recording>(std::move(read));
}

// One request after another on one connection; `next` gives them, `take` hears each answer.
class Asker : public Core {
 public:
  struct Ask {
    std::string method, target, body;
  };
  std::string address;
  std::uint16_t port = 0;
  std::function<std::optional<Ask>()> next;
  std::function<bool(int status, const std::string& body)> take;
  std::string failed;

  void handle(Duration now, const IoEvent& what, std::vector<Action>& actions) override {
    if (!began_) {
      began_ = true;
      actions.push_back(Dial{1, address, port});
      actions.push_back(StartTimer{now + limit});
      heard_ = now;
    }
    if (std::holds_alternative<Connected>(what))
      return ask(actions);
    if (const auto* received = std::get_if<Received>(&what)) {
      heard_ = now;
      auto part = reader_.push(received->bytes);
      if (part.error)
        return end(part.error->cause, actions);
      if (part.head)
        status_ = part.head->status;
      body_ += part.body;
      if (!part.done)
        return;
      const bool on = take(status_, std::exchange(body_, {}));
      return on ? ask(actions) : actions.push_back(StopLoop{});
    }
    if (std::holds_alternative<Disconnected>(what) || std::holds_alternative<HalfClosed>(what))
      return end("no connection to " + address + ":" + std::to_string(port), actions);
    if (std::holds_alternative<ShutdownRequested>(what))
      return end("stopped", actions);
    if (std::holds_alternative<TimerFired>(what) && now - heard_ >= limit)
      return end("no answer within a minute", actions);
    if (std::holds_alternative<TimerFired>(what))
      actions.push_back(StartTimer{heard_ + limit});
  }

 private:
  static constexpr Duration limit = 60s;
  void ask(std::vector<Action>& actions) {
    const auto one = next();
    if (!one)
      return actions.push_back(StopLoop{});
    reader_.expect(false);
    http::Fields fields{{"Host", address},
                        {"Content-Type", "application/json"},
                        {"Content-Length", std::to_string(one->body.size())}};
    actions.push_back(Send{1, http::serialize_request_head(one->method, one->target, fields) + one->body});
  }
  void end(std::string cause, std::vector<Action>& actions) {
    failed = std::move(cause);
    actions.push_back(StopLoop{});
  }
  http::ResponseParser reader_;
  bool began_ = false;
  int status_ = 0;
  Duration heard_{0};
  std::string body_;
};

int ask_manager(const CatalogueWords& words, std::function<std::optional<Asker::Ask>()> next,
                std::function<bool(int, const std::string&)> take) {
  Asker asker;
  asker.address = words.address;
  asker.port = words.port;
  asker.next = std::move(next);
  asker.take = std::move(take);
  runtime::Loop loop(asker, {}, {}, "");
  loop.run();
  if (asker.failed.empty())
    return 0;
  std::cerr << "violettide: " << asker.failed << '\n';
  return 2;
}

template <typename Run>
int guarded(Run run) {
  try {
    return run();
  } catch (const Unreadable& failed) {
    std::cerr << "violettide: " << failed.what << '\n';
    return 1;
  } catch (const runtime::LoopError& failed) {
    std::cerr << "violettide: " << failed.what << '\n';
    return 2;
  }
}

// One get whose answer is handed on; a refusal is told.
int get(const CatalogueWords& words, const std::string& target,
        const std::function<void(const std::string&)>& use) {
  int result = 0;
  bool asked = false;
  const int code = ask_manager(
      words,
      [&]() -> std::optional<Asker::Ask> {
        if (std::exchange(asked, true))
          return std::nullopt;
        return Asker::Ask{"GET", target, ""};
      },
      [&](int status, const std::string& body) {
        if (status == 200)
          use(body);
        else
          std::cerr << body, result = 1;
        return true;
      });
  return code ? code : result;
}

}  // namespace

int run_catalogue_check(const CatalogueWords& words) {
  return guarded([&] {
    std::size_t recordings = 0, locations = 0, mistakes = 0;
    Lines lines(words.file);
    while (const auto line = lines.next()) {
      try {
        const auto recording = recording_at(words.file, lines.number(), *line);
        ++recordings;
        locations += recording.locations.size();
      } catch (const Unreadable& bad) {
        std::cerr << bad.what << '\n';
        if (++mistakes == 100)
          break;
      }
    }
    std::cout << words.file << ": " << recordings << " recordings, " << locations << " locations, "
              << mistakes << " mistakes\n";
    return mistakes == 0 ? 0 : 1;
  });
}

int run_catalogue_load(const CatalogueWords& words) {
  return guarded([&] {
    // Read whole first: a file with a mistake loads nothing.
    std::size_t total = 0;
    for (Lines lines(words.file); const auto line = lines.next(); ++total)
      recording_at(words.file, lines.number(), *line);
    Lines lines(words.file);
    std::size_t loaded = 0, sent = 0;
    int result = 0;
    const bool terminal = isatty(STDERR_FILENO);
    const int code = ask_manager(
        words,
        [&]() -> std::optional<Asker::Ask> {
          std::vector<catalogue::Change> changes;
          while (changes.size() < words.batch) {
            const auto line = lines.next();
            if (!line)
              break;
            changes.push_back(catalogue::PutRecording{recording_at(words.file, lines.number(), *line)});
          }
          if (changes.empty())
            return std::nullopt;
          sent += changes.size();
          return Asker::Ask{"POST", "/catalogue/changes", cataloguewire::json_text(changes)};
        },
        [&](int status, const std::string& body) {
          if (status != 200) {
            std::cerr << "violettide: after " << loaded << " of " << total << " recordings: " << body;
            result = 1;
            return false;
          }
          loaded = sent;
          if (terminal)
            std::cerr << "\r" << loaded << " of " << total << " recordings" << std::flush;
          return true;
        });
    if (terminal)
      std::cerr << '\n';
    if (code || result)
      return code ? code : result;
    std::cout << loaded << " recordings loaded\n";
    return 0;
  });
}

int run_catalogue_export(const CatalogueWords& words) {
  return guarded([&] {
    return get(words, "/catalogue/whole", [](const std::string& body) {
      const auto json = nlohmann::json::parse(body, nullptr, false);
      if (!json.is_object() || !json.contains("recordings"))
        throw Unreadable{"the manager's answer is no catalogue"};
      for (const auto& recording : json["recordings"])
        std::cout << recording.dump() << '\n';
    });
  });
}

int run_catalogue_show(const CatalogueWords& words) {
  return guarded([&] {
    const auto target = words.title.empty() ? std::string("/catalogue")
                                            : "/catalogue/recordings/" + http::percent_encode(words.title);
    return get(words, target, [](const std::string& body) {
      std::cout << nlohmann::json::parse(body, nullptr, false).dump(2) << '\n';
    });
  });
}

int run_catalogue_diff(const CatalogueWords& words) {
  return guarded([&] {
    const auto all = [](const std::string& path) {
      std::map<std::string, std::string> recordings;
      Lines lines(path);
      while (const auto line = lines.next()) {
        const auto recording = recording_at(path, lines.number(), *line);
        if (!recordings.emplace(recording.title, cataloguewire::json_text(recording)).second)
          throw Unreadable{path + ":" + std::to_string(lines.number()) + ": title: '" + recording.title +
                           "' is named twice"};
      }
      return recordings;
    };
    const auto before = all(words.file), after = all(words.other);
    std::size_t differ = 0;
    for (const auto& [title, text] : before) {
      const auto found = after.find(title);
      if (found == after.end())
        ++differ, std::cout << "- " << title << '\n';
      else if (found->second != text)
        ++differ, std::cout << "~ " << title << "\n  - " << text << "\n  + " << found->second << '\n';
    }
    for (const auto& [title, text] : after) {
      if (!before.contains(title))
        ++differ, std::cout << "+ " << title << '\n';
    }
    return differ == 0 ? 0 : 1;
  });
}

}  // namespace violettide::cli
