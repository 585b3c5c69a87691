#include "runtime/runtime.h"

#include <signal.h>
#include <uv.h>

#include <array>
#include <cstdio>
#include <cstring>
#include <deque>
#include <fstream>
#include <sstream>
#include <unordered_map>

namespace violettide::runtime {

namespace {

constexpr int backlog = 1024;
constexpr std::size_t read_size = 64 * 1024;
constexpr std::uint64_t linger_ms = 500;      // for a peer to read an answer before its unread bytes reset it
constexpr std::uint64_t sending_ms = 10'000;  // for what is sent last to be taken by its reader

[[noreturn]] void fail(const std::string& what, int code) {
  throw LoopError{what + ": " + uv_strerror(code)};
}

sockaddr_in place_of(const std::string& address, std::uint16_t port) {
  sockaddr_in place{};
  if (const int code = uv_ip4_addr(address.c_str(), port, &place))
    fail("address " + address, code);
  return place;
}

}  // namespace

class Loop::Inside {
 public:
  Inside(Core& core, std::vector<ListenAddress> doors, std::function<void(Duration, const LogLine&)> said,
         std::string folder, Storage* disk)
      : core_(core),
        said_(std::move(said)),
        folder_(std::move(folder)),
        places_(std::move(doors)),
        disk_(disk) {
    signal(SIGPIPE, SIG_IGN);  // a peer that is gone is told by the write that fails
    uv_loop_init(&loop_);
    origin_ = uv_hrtime() / 1000;
    uv_timer_init(&loop_, &timer_);
    timer_.data = this;
    uv_timer_init(&loop_, &failing_);
    failing_.data = this;
    uv_prepare_init(&loop_, &prepare_);
    prepare_.data = this;
    uv_check_init(&loop_, &check_);
    check_.data = this;
    // One time for all that one turn of the loop brings, so that a core that stood still can tell.
    uv_prepare_start(&prepare_, [](uv_prepare_t* h) {
      of(h)->time_read_ = false;
      of(h)->settling_ = of(h)->settle_asked_;
    });
    uv_check_start(&check_, [](uv_check_t* h) {
      of(h)->time_read_ = false;
      of(h)->settled();
    });
    uv_idle_init(&loop_, &idle_);
    uv_timer_init(&loop_, &leaving_limit_);
    leaving_limit_.data = this;
    for (std::size_t i = 0; i < signals_.size(); ++i) {
      uv_signal_init(&loop_, &signals_[i]);
      signals_[i].data = this;
      uv_signal_start(
          &signals_[i], [](uv_signal_t* h, int) { of(h)->deliver(ShutdownRequested{}); },
          i == 0 ? SIGINT : SIGTERM);
    }
    uv_signal_init(&loop_, &hangup_);
    hangup_.data = this;
    doors_.resize(places_.size());
    try {
      for (std::size_t i = 0; i < places_.size(); ++i)
        open(static_cast<int>(i));
    } catch (const LoopError&) {
      close_all();  // the loop still knows of handles within this object
      throw;
    }
  }

  ~Inside() { close_all(); }

  void close_all() {
    ending_ = true;
    uv_walk(
        &loop_,
        [](uv_handle_t* handle, void*) {
          if (!uv_is_closing(handle))
            uv_close(handle, nullptr);
        },
        nullptr);
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_loop_close(&loop_);
  }

  void run() {
    deliver(TimerFired{});
    uv_run(&loop_, UV_RUN_DEFAULT);
  }

  // Guards against commands without such a file outliving their terminal.
  void reload_on_sighup(std::string path) {
    reread_ = std::move(path);
    uv_signal_start(
        &hangup_, [](uv_signal_t* h, int) { of(h)->hung_up(); }, SIGHUP);
  }
  std::uint16_t port(int door) const { return places_.at(door).port; }
  Duration now() {
    if (!time_read_) {
      time_ = Duration(static_cast<std::int64_t>(uv_hrtime() / 1000 - origin_));
      time_read_ = true;
    }
    return time_;
  }
  std::uint64_t origin() const { return origin_; }

 private:
  struct Connection {
    Inside* inside = nullptr;
    ConnectionId link = 0;
    uv_tcp_t socket{};
    uv_connect_t connecting{};
    uv_timer_t linger{};
    bool lingers = false;
    std::string out;  // gathered while actions are done
    bool touched = false, reading = false, hung = false, writing = false, connected = false;
    bool shut_after = false, all_sent = false, peer_done = false;
    int closing_handles = 0;
  };
  struct Writing {
    uv_write_t request{};
    Connection* connection = nullptr;
    std::string bytes;
  };
  struct Listener {
    uv_tcp_t socket{};
    Inside* inside = nullptr;
    int door = 0;
  };
  template <typename Handle>
  static Inside* of(Handle* handle) {
    return static_cast<Inside*>(handle->data);
  }

  void deliver(const IoEvent& what) {
    if (leaving_)
      return;  // the core is done
    std::vector<Action> actions;
    core_.handle(now(), what, actions);
    perform(actions);
    while (!flushed_.empty() || !unkept_.empty()) {
      while (!unkept_.empty()) {
        const auto ticket = unkept_.front();
        unkept_.pop_front();
        actions.clear();
        core_.handle(now(), Persisted{ticket, ""}, actions);
        perform(actions);
      }
      std::vector<ConnectionId> ready;
      ready.swap(flushed_);
      for (const auto link : ready) {
        if (!links_.contains(link))
          continue;
        actions.clear();
        core_.handle(now(), Flushed{link}, actions);
        perform(actions);
      }
    }
  }

  // Asked in one turn of the loop, settled when a whole turn has read what there was: the end of a
  // connection is only seen in the turn after its last bytes. An idle handle keeps that turn from waiting.
  void settle() {
    if (std::exchange(settle_asked_, true))
      return;
    uv_idle_start(&idle_, [](uv_idle_t*) {});
  }
  void settled() {
    if (!std::exchange(settling_, false))
      return;
    settle_asked_ = false;
    uv_idle_stop(&idle_);
    deliver(InputDrained{});
  }

  void hung_up() {
    std::ifstream file(reread_);
    std::ostringstream text;
    text << file.rdbuf();
    if (file)
      return deliver(ConfigReloaded{text.str()});
    if (said_)
      said_(now(),
            LogLine{"reread_failed", {{"file", reread_}, {"cause", std::string(std::strerror(errno))}}});
  }

  void perform(std::vector<Action>& actions) {
    std::vector<ConnectionId> touched;
    for (auto& act : actions) {
      std::visit(Overloaded{
                     [&](Dial& a) { dial(a); },
                     [&](Send& a) {
                       auto* to = find(a.connection);
                       if (!to || to->hung)
                         return;
                       if (to->out.empty())
                         to->out = std::move(a.bytes);
                       else
                         to->out += a.bytes;
                       if (!std::exchange(to->touched, true))
                         touched.push_back(a.connection);
                     },
                     [&](Close& a) { hang(a); },
                     [&](PauseReading& a) {
                       auto* from = find(a.connection);
                       if (from && from->reading)
                         uv_read_stop(stream(*from)), from->reading = false;
                     },
                     [&](ResumeReading& a) {
                       if (auto* from = find(a.connection))
                         read(*from);
                     },
                     [&](StartTimer& a) { wake(a.at); },
                     [&](Listen& a) { open(a.listener); },
                     [&](StopListening& a) { shut(a.listener); },
                     [&](WriteFile& a) { store(a); },
                     [&](Persist& a) { keep(std::move(a)); },
                     [&](LogLine& a) {
                       if (said_)
                         said_(now(), a);
                     },
                     [&](DrainInput&) { settle(); },
                     [&](StopLoop& a) { leave(a.timeout); },
                 },
                 act);
    }
    for (const auto link : touched) {
      if (auto* to = find(link))
        flush(*to);
    }
    leave_if_done();
  }

  // Guards against a reader who reads nothing keeping the process for good.
  void leave(Duration within) {
    if (std::exchange(leaving_, true))
      return;
    for (std::size_t door = 0; door < doors_.size(); ++door)
      shut(static_cast<int>(door));
    uv_update_time(&loop_);
    uv_timer_start(
        &leaving_limit_, [](uv_timer_t* t) { uv_stop(t->loop); },
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, within.count() / 1000)), 0);
  }

  // Guards against an end that cuts off what was sent last: connections that linger are waited for.
  void leave_if_done() {
    if (leaving_ && lingering_ == 0)
      uv_stop(&loop_);
  }

  static uv_stream_t* stream(Connection& c) { return reinterpret_cast<uv_stream_t*>(&c.socket); }
  Connection* find(ConnectionId link) {
    const auto found = links_.find(link);
    return found == links_.end() ? nullptr : found->second;
  }

  Connection* make(ConnectionId link) {
    auto* connection = new Connection;  // freed when libuv has closed its handles
    connection->inside = this;
    connection->link = link;
    uv_tcp_init(&loop_, &connection->socket);
    connection->socket.data = connection;
    links_[link] = connection;
    return connection;
  }

  void dial(const Dial& what) {
    auto* connection = make(what.connection);
    connection->connecting.data = connection;
    sockaddr_in place{};
    int code = uv_ip4_addr(what.address.c_str(), what.port, &place);
    if (!code)
      code = uv_tcp_connect(&connection->connecting, &connection->socket,
                            reinterpret_cast<const sockaddr*>(&place), [](uv_connect_t* request, int status) {
                              auto* c = static_cast<Connection*>(request->data);
                              if (c->hung)
                                return;
                              c->inside->connected(*c, status);
                            });
    if (!code)
      return;
    // No descriptor, no port, no way out: libuv tells a peer's refusal by the callback in every case. Told in
    // a turn of its own, by a timer of its own: the core's may be set for later.
    failed_.push_back(what.connection);
    uv_timer_start(
        &failing_,
        [](uv_timer_t* t) {
          auto* self = of(t);
          std::vector<ConnectionId> failed;
          failed.swap(self->failed_);
          for (const auto link : failed) {
            if (auto* c = self->find(link))
              self->end(*c, CloseReason::local_failure);
          }
        },
        0, 0);
  }

  void connected(Connection& c, int status) {
    const ConnectionId link = c.link;
    if (status < 0)
      return end(c, status == UV_ECONNREFUSED ? CloseReason::refused : CloseReason::reset);
    c.connected = true;
    uv_tcp_nodelay(&c.socket, 1);
    read(c);
    deliver(Connected{link});
  }

  void read(Connection& c) {
    if (c.reading || c.hung || !c.connected)
      return;
    c.reading = true;
    uv_read_start(
        stream(c),
        [](uv_handle_t* h, std::size_t, uv_buf_t* buffer) {
          auto& shared = static_cast<Connection*>(h->data)->inside->buffer_;
          *buffer = uv_buf_init(shared.data(), static_cast<unsigned>(shared.size()));
        },
        [](uv_stream_t* s, ssize_t count, const uv_buf_t* buffer) {
          auto& c = *static_cast<Connection*>(s->data);
          if (c.hung) {
            // Guards against a peer that only writes no more losing the rest of its answer.
            if (count == UV_EOF && !c.all_sent) {
              c.peer_done = true;
              uv_read_stop(s);
            } else if (count < 0) {
              c.inside->close(c);
            }
            return;  // what comes while an answer lingers is let go
          }
          if (count > 0)
            c.inside->deliver(Received{c.link, {buffer->base, static_cast<std::size_t>(count)}});
          else if (count == UV_EOF) {
            uv_read_stop(s);
            c.reading = false;
            c.inside->deliver(HalfClosed{c.link});
          } else if (count < 0) {
            c.inside->end(c, CloseReason::reset);
          }
        });
  }

  void end(Connection& c, CloseReason how) {
    const ConnectionId link = c.link;
    c.hung = true;
    close(c);
    deliver(Disconnected{link, how});
  }

  void flush(Connection& c) {
    c.touched = false;
    if (c.hung && !c.shut_after)
      return;
    std::string bytes;
    bytes.swap(c.out);
    if (bytes.empty())
      return;
    std::size_t sent = 0;
    if (!c.writing && c.connected) {
      uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
      const int count = uv_try_write(stream(c), &buffer, 1);
      if (count > 0)
        sent = static_cast<std::size_t>(count);
    }
    if (sent == bytes.size()) {
      if (!c.hung)
        flushed_.push_back(c.link);
      return;
    }
    auto* writing = new Writing;
    writing->connection = &c;
    writing->bytes = sent == 0 ? std::move(bytes) : bytes.substr(sent);
    writing->request.data = writing;
    uv_buf_t buffer = uv_buf_init(writing->bytes.data(), static_cast<unsigned>(writing->bytes.size()));
    c.writing = true;
    const int code = uv_write(&writing->request, stream(c), &buffer, 1, [](uv_write_t* request, int status) {
      std::unique_ptr<Writing> done(static_cast<Writing*>(request->data));
      auto& c = *done->connection;
      if (uv_is_closing(reinterpret_cast<uv_handle_t*>(&c.socket)))
        return;
      c.writing = stream(c)->write_queue_size > 0;
      if (c.hung)
        return;
      if (status < 0)
        return c.inside->end(c, CloseReason::reset);
      if (!c.writing)
        c.inside->deliver(Flushed{c.link});
    });
    if (code)
      delete writing;
  }

  void hang(const Close& what) {
    auto* c = find(what.connection);
    if (!c || c->hung)
      return;
    if (what.after_sending && c->connected) {
      flush(*c);
      c->hung = true;
      links_.erase(c->link);
      auto* request = new uv_shutdown_t;
      request->data = c;
      uv_timer_init(&loop_, &c->linger);
      c->linger.data = c;
      c->lingers = true;
      ++lingering_;
      // The peer's time to read begins when all is with the kernel.
      const auto shut = [](uv_shutdown_t* r, int) {
        std::unique_ptr<uv_shutdown_t> done(r);
        auto& c = *static_cast<Connection*>(r->data);
        if (uv_is_closing(reinterpret_cast<uv_handle_t*>(&c.linger)))
          return;
        c.all_sent = true;
        c.peer_done ? c.inside->close(c) : linger(c, linger_ms);
      };
      if (uv_shutdown(request, stream(*c), shut)) {
        delete request;
        return close(*c);
      }
      linger(*c, sending_ms);
      if (!c->reading) {
        c->hung = false;
        read(*c);
        c->hung = true;
      }
      return;
    }
    c->hung = true;
    close(*c, true);
  }

  static void linger(Connection& c, std::uint64_t ms) {
    uv_timer_start(
        &c.linger,
        [](uv_timer_t* t) {
          auto& c = *static_cast<Connection*>(t->data);
          c.inside->close(c);
        },
        ms, 0);
  }

  void close(Connection& c, bool reset = false) {
    if (const auto found = links_.find(c.link); found != links_.end() && found->second == &c)
      links_.erase(found);
    if (uv_is_closing(reinterpret_cast<uv_handle_t*>(&c.socket)))
      return;
    const auto closed = [](uv_handle_t* handle) {
      auto* c = static_cast<Connection*>(handle->data);
      if (--c->closing_handles == 0)
        delete c;
    };
    c.closing_handles = c.lingers ? 2 : 1;
    if (c.lingers)
      --lingering_;
    leave_if_done();
    if (c.lingers)
      uv_close(reinterpret_cast<uv_handle_t*>(&c.linger), closed);
    if (!reset || uv_tcp_close_reset(&c.socket, closed) != 0)
      uv_close(reinterpret_cast<uv_handle_t*>(&c.socket), closed);
  }

  void wake(Duration at) {
    wake_at_ = at;
    const auto in = std::max<std::int64_t>(0, (at - now()).count());
    uv_update_time(&loop_);
    uv_timer_start(
        &timer_, [](uv_timer_t* t) { of(t)->rang(); }, static_cast<std::uint64_t>((in + 999) / 1000), 0);
  }
  // Guards against telling a core that its time has come before it has, after which none would come: libuv
  // counts whole milliseconds, and so rings up to one early.
  void rang() {
    time_read_ = false;
    now() < wake_at_ ? wake(wake_at_) : deliver(TimerFired{});
  }

  void open(int door) {
    auto& listener = doors_.at(door);
    if (listener)
      return;
    auto& place = places_.at(door);
    const auto said = "listening at " + place.address + ":" + std::to_string(place.port);
    listener = new Listener;
    listener->inside = this;
    listener->door = door;
    uv_tcp_init(&loop_, &listener->socket);
    listener->socket.data = listener;
    const auto address = place_of(place.address, place.port);
    int code = uv_tcp_bind(&listener->socket, reinterpret_cast<const sockaddr*>(&address), 0);
    if (!code)
      code = uv_listen(reinterpret_cast<uv_stream_t*>(&listener->socket), backlog,
                       [](uv_stream_t* s, int status) {
                         auto* l = static_cast<Listener*>(s->data);
                         if (status == 0)
                           l->inside->accept(*l);
                       });
    if (code) {
      shut(door);
      fail(said, code);
    }
    sockaddr_in bound{};
    int size = sizeof bound;
    uv_tcp_getsockname(&listener->socket, reinterpret_cast<sockaddr*>(&bound), &size);
    place.port = ntohs(bound.sin_port);
  }

  void shut(int door) {
    auto*& listener = doors_.at(door);
    if (!listener)
      return;
    uv_close(reinterpret_cast<uv_handle_t*>(&listener->socket),
             [](uv_handle_t* handle) { delete static_cast<Listener*>(handle->data); });
    listener = nullptr;
  }

  void accept(Listener& listener) {
    while (next_accepted_ < first_accepted || links_.contains(next_accepted_))
      ++next_accepted_;
    auto* c = make(next_accepted_++);
    if (uv_accept(reinterpret_cast<uv_stream_t*>(&listener.socket), stream(*c))) {
      c->hung = true;
      return close(*c);
    }
    c->connected = true;
    uv_tcp_nodelay(&c->socket, 1);
    const ConnectionId link = c->link;
    deliver(Accepted{link, listener.door});
    if (auto* still = find(link))
      read(*still);
  }

  // One after another, so that what is kept follows what was kept before.
  void keep(Persist&& what) {
    if (!disk_)
      return unkept_.push_back(what.ticket);
    keeps_.push_back(std::move(what));
    if (keeps_.size() == 1)
      keep_next();
  }
  void keep_next() {
    keeping_.data = this;
    const int code = uv_queue_work(
        &loop_, &keeping_,
        [](uv_work_t* work) {
          auto& self = *of(work);
          const auto& next = self.keeps_.front();
          self.keep_failed_ = self.disk_->persist(next.ticket, next.bytes, next.replaces_all);
        },
        [](uv_work_t* work, int status) {
          auto& self = *of(work);
          const auto ticket = self.keeps_.front().ticket;
          const auto failed =
              status == UV_ECANCELED ? std::string("stopped before it was kept") : self.keep_failed_;
          self.keeps_.pop_front();
          if (!self.keeps_.empty())
            self.keep_next();
          if (!self.ending_)
            self.deliver(Persisted{ticket, failed});
        });
    if (code)
      fail("a thread for the disk", code);
  }

  // Written beside and moved into place, so that a reader finds the old file or the new one, whole.
  void store(const WriteFile& what) {
    if (folder_.empty())
      return;
    const auto path = folder_ + "/" + what.name;
    const auto beside = path + ".new";
    std::FILE* file = std::fopen(beside.c_str(), "wb");
    bool whole = file && std::fwrite(what.bytes.data(), 1, what.bytes.size(), file) == what.bytes.size();
    if (file)
      whole = std::fclose(file) == 0 && whole;
    if (whole && std::rename(beside.c_str(), path.c_str()) == 0)
      return;
    if (said_)
      said_(now(), LogLine{"store_failed", {{"file", path}, {"cause", std::string(std::strerror(errno))}}});
  }

  Core& core_;
  std::function<void(Duration, const LogLine&)> said_;
  std::string folder_;
  uv_loop_t loop_{};
  uv_timer_t timer_{}, failing_{}, leaving_limit_{};
  uv_prepare_t prepare_{};
  uv_check_t check_{};
  uv_idle_t idle_{};
  bool settle_asked_ = false, settling_ = false;
  std::array<uv_signal_t, 2> signals_{};
  uv_signal_t hangup_{};
  std::string reread_;
  std::uint64_t origin_ = 0;
  Duration time_{0}, wake_at_{0};
  bool time_read_ = false;
  std::vector<ListenAddress> places_;
  std::vector<Listener*> doors_;
  std::unordered_map<ConnectionId, Connection*> links_;
  ConnectionId next_accepted_ = first_accepted;
  std::vector<ConnectionId> flushed_, failed_;
  Storage* disk_ = nullptr;
  std::deque<Persist> keeps_;  // the first is on its way
  std::deque<std::uint64_t> unkept_;
  std::string keep_failed_;
  uv_work_t keeping_{};
  bool ending_ = false, leaving_ = false;
  int lingering_ = 0;
  std::array<char, read_size> buffer_;
};

Loop::Loop(Core& core, std::vector<ListenAddress> doors, std::function<void(Duration, const LogLine&)> said,
           std::string folder, Storage* disk)
    : inside_(std::make_unique<Inside>(core, std::move(doors), std::move(said), std::move(folder), disk)) {}
Loop::~Loop() = default;
std::uint16_t Loop::port(int door) const { return inside_->port(door); }
void Loop::reload_on_sighup(std::string path) { inside_->reload_on_sighup(std::move(path)); }
void Loop::run() { inside_->run(); }
Duration Loop::now() const { return inside_->now(); }
std::uint64_t Loop::machine_clock_us() { return uv_hrtime() / 1000; }
std::uint64_t Loop::origin_us() const { return inside_->origin(); }

}  // namespace violettide::runtime
