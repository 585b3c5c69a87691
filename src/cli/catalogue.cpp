// The `catalogue` sub-commands. They read files of one recording a line, plain or zstd, in bounded memory,
// and use the catalogue resource of a manager over one HTTP connection.
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
// Bounds memory on input without line breaks.
constexpr std::size_t max_line_bytes = 4 * 1024 * 1024;

// An input that cannot be read or is invalid; `what` names the file and line.
struct InputError {
  std::string what;
};

// Reads a plain or zstd file line by line. Throws InputError if it cannot be read, a line is over 4 MiB, or
// the zstd stream is corrupt or truncated.
class LineReader {
 public:
  explicit LineReader(const std::string& path)
      : path_(path),
        file_(std::fopen(path.c_str(), "rb"), &std::fclose),
        context_(ZSTD_createDCtx(), ZSTD_freeDCtx),
        input_(256 * 1024),
        output_(256 * 1024) {
    if (!file_)
      throw InputError{path + ": cannot read the file"};
  }
  std::size_t line_number() const { return line_number_; }  // of the last line returned, from 1
  // Returns the next line that is not empty.
  std::optional<std::string> next() {
    for (;;) {
      const auto line_end = text_.find('\n', position_);
      if (line_end != std::string::npos) {
        auto line = text_.substr(position_, line_end - position_);
        position_ = line_end + 1;
        ++line_number_;
        if (!line.empty())
          return line;
        continue;
      }
      text_.erase(0, position_);
      position_ = 0;
      if (text_.size() > max_line_bytes)
        throw InputError{path_ + ":" + std::to_string(line_number_ + 1) + ": line is longer than 4 MiB"};
      if (!read_more()) {
        if (zstd_remaining_ != 0)
          throw InputError{path_ + ": after line " + std::to_string(line_number_) +
                           ": the zstd stream is truncated"};
        if (text_.empty())
          return std::nullopt;
        ++line_number_;
        return std::exchange(text_, {});
      }
    }
  }

 private:
  // Reads and decompresses the next block; false at the end of the file.
  bool read_more() {
    const auto count = std::fread(input_.data(), 1, input_.size(), file_.get());
    if (count == 0)
      return false;
    if (std::exchange(at_start_, false))
      is_zstd_ = count >= 4 && std::string_view(input_.data(), 4) == "\x28\xb5\x2f\xfd";
    if (!is_zstd_) {
      text_.append(input_.data(), count);
      return true;
    }
    ZSTD_inBuffer in{input_.data(), count, 0};
    while (in.pos < in.size) {
      ZSTD_outBuffer out{output_.data(), output_.size(), 0};
      zstd_remaining_ = ZSTD_decompressStream(context_.get(), &out, &in);
      if (ZSTD_isError(zstd_remaining_))
        throw InputError{path_ + ": after line " + std::to_string(line_number_) + ": " +
                         ZSTD_getErrorName(zstd_remaining_)};
      text_.append(output_.data(), out.pos);
    }
    return true;
  }
  std::string path_;
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
  std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context_;
  std::vector<char> input_;
  std::vector<char> output_;
  std::string text_;
  std::size_t position_ = 0;  // of the next line in text_
  std::size_t line_number_ = 0;
  std::size_t zstd_remaining_ = 0;  // last result of ZSTD_decompressStream; not 0: the frame is incomplete
  bool at_start_ = true;
  bool is_zstd_ = false;
};

// Parses one line; throws InputError with its place in the file.
catalogue::Recording recording_at(const std::string& path, std::size_t line_number, std::string_view line) {
  auto read = cataloguewire::read_recording(line);
  if (const auto* error = std::get_if<cataloguewire::JsonError>(&read))
    throw InputError{path + ":" + std::to_string(line_number) + ": " + error->place + ": " + error->cause};
  return std::get<catalogue::Recording>(std::move(read));
}

// Sends requests one after another on one connection. `next` returns the next request, or nothing to stop;
// `on_response` gets each response and returns whether to go on. `error` is set if the exchange failed.
class ManagerClient : public Core {
 public:
  struct Request {
    std::string method, target, body;
  };
  std::string address;
  std::uint16_t port = 0;
  std::function<std::optional<Request>()> next;
  std::function<bool(int status, const std::string& body)> on_response;
  std::string error;

  void handle(Duration now, const IoEvent& event, std::vector<Action>& actions) override {
    if (!started_) {
      started_ = true;
      actions.push_back(Dial{1, address, port});
      actions.push_back(StartTimer{now + response_timeout});
      last_activity_ = now;
    }
    if (std::holds_alternative<Connected>(event))
      return send_next(actions);
    if (const auto* received = std::get_if<Received>(&event)) {
      last_activity_ = now;
      auto parsed = reader_.push(received->bytes);
      if (parsed.error)
        return fail(parsed.error->cause, actions);
      if (parsed.head)
        status_ = parsed.head->status;
      body_ += parsed.body;
      if (!parsed.done)
        return;
      const bool proceed = on_response(status_, std::exchange(body_, {}));
      return proceed ? send_next(actions) : actions.push_back(StopLoop{});
    }
    if (std::holds_alternative<Disconnected>(event) || std::holds_alternative<HalfClosed>(event))
      return fail("no connection to " + address + ":" + std::to_string(port), actions);
    if (std::holds_alternative<ShutdownRequested>(event))
      return fail("stopped", actions);
    if (std::holds_alternative<TimerFired>(event) && now - last_activity_ >= response_timeout)
      return fail("no response within 60 s", actions);
    if (std::holds_alternative<TimerFired>(event))
      actions.push_back(StartTimer{last_activity_ + response_timeout});
  }

 private:
  static constexpr Duration response_timeout = 60s;
  void send_next(std::vector<Action>& actions) {
    const auto request = next();
    if (!request)
      return actions.push_back(StopLoop{});
    reader_.expect(false);
    http::Fields fields{{"Host", address},
                        {"Content-Type", "application/json"},
                        {"Content-Length", std::to_string(request->body.size())}};
    actions.push_back(
        Send{1, http::serialize_request_head(request->method, request->target, fields) + request->body});
  }
  void fail(std::string cause, std::vector<Action>& actions) {
    error = std::move(cause);
    actions.push_back(StopLoop{});
  }
  http::ResponseParser reader_;
  bool started_ = false;
  int status_ = 0;
  Duration last_activity_{0};
  std::string body_;
};

// Runs the requests against the manager; returns 2 if the connection fails.
int run_requests(const CatalogueOptions& options, std::function<std::optional<ManagerClient::Request>()> next,
                 std::function<bool(int, const std::string&)> on_response) {
  ManagerClient client;
  client.address = options.address;
  client.port = options.port;
  client.next = std::move(next);
  client.on_response = std::move(on_response);
  runtime::Loop loop(client, {}, {}, "");
  loop.run();
  if (client.error.empty())
    return 0;
  std::cerr << "violettide: " << client.error << '\n';
  return 2;
}

// Runs a command; reports invalid input as exit code 1 and a runtime failure as 2.
template <typename Command>
int run_reporting_errors(Command command) {
  try {
    return command();
  } catch (const InputError& error) {
    std::cerr << "violettide: " << error.what << '\n';
    return 1;
  } catch (const runtime::LoopError& error) {
    std::cerr << "violettide: " << error.what << '\n';
    return 2;
  }
}

// Sends one GET and passes the body of a 200 response on; prints that of any other and returns 1.
int fetch(const CatalogueOptions& options, const std::string& target,
          const std::function<void(const std::string&)>& on_body) {
  int result = 0;
  bool sent = false;
  const int exit_code = run_requests(
      options,
      [&]() -> std::optional<ManagerClient::Request> {
        if (std::exchange(sent, true))
          return std::nullopt;
        return ManagerClient::Request{"GET", target, ""};
      },
      [&](int status, const std::string& body) {
        if (status == 200)
          on_body(body);
        else
          std::cerr << body, result = 1;
        return true;
      });
  return exit_code ? exit_code : result;
}

}  // namespace

int run_catalogue_check(const CatalogueOptions& options) {
  return run_reporting_errors([&] {
    std::size_t recordings = 0, locations = 0, mistake_count = 0;
    LineReader lines(options.file);
    while (const auto line = lines.next()) {
      try {
        const auto recording = recording_at(options.file, lines.line_number(), *line);
        ++recordings;
        locations += recording.locations.size();
      } catch (const InputError& error) {
        std::cerr << error.what << '\n';
        if (++mistake_count == 100)
          break;
      }
    }
    std::cout << options.file << ": " << recordings << " recordings, " << locations << " locations, "
              << mistake_count << " mistakes\n";
    return mistake_count == 0 ? 0 : 1;
  });
}

int run_catalogue_load(const CatalogueOptions& options) {
  return run_reporting_errors([&] {
    // Validates the whole file first, so that a file with a mistake loads nothing.
    std::size_t total = 0;
    for (LineReader lines(options.file); const auto line = lines.next(); ++total)
      recording_at(options.file, lines.line_number(), *line);
    LineReader lines(options.file);
    std::size_t loaded = 0, sent = 0;
    int result = 0;
    const bool terminal = isatty(STDERR_FILENO);
    const int exit_code = run_requests(
        options,
        [&]() -> std::optional<ManagerClient::Request> {
          std::vector<catalogue::Change> changes;
          while (changes.size() < options.batch) {
            const auto line = lines.next();
            if (!line)
              break;
            changes.push_back(
                catalogue::PutRecording{recording_at(options.file, lines.line_number(), *line)});
          }
          if (changes.empty())
            return std::nullopt;
          sent += changes.size();
          return ManagerClient::Request{"POST", "/catalogue/changes", cataloguewire::json_text(changes)};
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
    if (exit_code || result)
      return exit_code ? exit_code : result;
    std::cout << loaded << " recordings loaded\n";
    return 0;
  });
}

int run_catalogue_export(const CatalogueOptions& options) {
  return run_reporting_errors([&] {
    return fetch(options, "/catalogue/whole", [](const std::string& body) {
      const auto json = nlohmann::json::parse(body, nullptr, false);
      if (!json.is_object() || !json.contains("recordings"))
        throw InputError{"the manager's response is not a catalogue"};
      for (const auto& recording : json["recordings"])
        std::cout << recording.dump() << '\n';
    });
  });
}

int run_catalogue_show(const CatalogueOptions& options) {
  return run_reporting_errors([&] {
    const auto target = options.title.empty()
                            ? std::string("/catalogue")
                            : "/catalogue/recordings/" + http::percent_encode(options.title);
    return fetch(options, target, [](const std::string& body) {
      std::cout << nlohmann::json::parse(body, nullptr, false).dump(2) << '\n';
    });
  });
}

int run_catalogue_diff(const CatalogueOptions& options) {
  return run_reporting_errors([&] {
    const auto read_recordings = [](const std::string& path) {
      std::map<std::string, std::string> recordings;
      LineReader lines(path);
      while (const auto line = lines.next()) {
        const auto recording = recording_at(path, lines.line_number(), *line);
        if (!recordings.emplace(recording.title, cataloguewire::json_text(recording)).second)
          throw InputError{path + ":" + std::to_string(lines.line_number()) + ": title: '" + recording.title +
                           "' is a duplicate"};
      }
      return recordings;
    };
    const auto before = read_recordings(options.file), after = read_recordings(options.other_file);
    std::size_t difference_count = 0;
    for (const auto& [title, text] : before) {
      const auto found = after.find(title);
      if (found == after.end())
        ++difference_count, std::cout << "- " << title << '\n';
      else if (found->second != text)
        ++difference_count,
            std::cout << "~ " << title << "\n  - " << text << "\n  + " << found->second << '\n';
    }
    for (const auto& [title, text] : after) {
      if (!before.contains(title))
        ++difference_count, std::cout << "+ " << title << '\n';
    }
    return difference_count == 0 ? 0 : 1;
  });
}

}  // namespace violettide::cli
