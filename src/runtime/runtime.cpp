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

constexpr int listen_backlog = 1024;
constexpr std::size_t read_buffer_size = 64 * 1024;
// Time for the peer to read an answer after it is sent: closing earlier, with unread input, would reset it.
constexpr std::uint64_t linger_ms = 500;
// Limit on sending the bytes that precede a close.
constexpr std::uint64_t final_send_ms = 10'000;

[[noreturn]] void fail(const std::string& what, int code) {
  throw LoopError{what + ": " + uv_strerror(code)};
}

sockaddr_in to_socket_address(const std::string& address, std::uint16_t port) {
  sockaddr_in socket_address{};
  if (const int code = uv_ip4_addr(address.c_str(), port, &socket_address))
    fail("address " + address, code);
  return socket_address;
}

}  // namespace

// The loop with its libuv handles. Its private functions perform one action each or handle one callback.
class Loop::Impl {
 public:
  Impl(Core& core, std::vector<ListenAddress> listen_addresses,
       std::function<void(Duration, const LogLine&)> log, std::string folder, Storage* storage)
      : core_(core),
        log_(std::move(log)),
        folder_(std::move(folder)),
        listen_addresses_(std::move(listen_addresses)),
        storage_(storage) {
    signal(SIGPIPE, SIG_IGN);  // the failing write reports a peer that is gone
    uv_loop_init(&loop_);
    origin_ = uv_hrtime() / 1000;
    uv_timer_init(&loop_, &core_timer_);
    core_timer_.data = this;
    uv_timer_init(&loop_, &dial_failure_timer_);
    dial_failure_timer_.data = this;
    uv_prepare_init(&loop_, &prepare_);
    prepare_.data = this;
    uv_check_init(&loop_, &check_);
    check_.data = this;
    // All events of one loop iteration share one time, so that a core can tell that it was suspended.
    uv_prepare_start(&prepare_, [](uv_prepare_t* handle) {
      of(handle)->time_cached_ = false;
      of(handle)->draining_ = of(handle)->drain_requested_;
    });
    uv_check_start(&check_, [](uv_check_t* handle) {
      of(handle)->time_cached_ = false;
      of(handle)->finish_drain();
    });
    uv_idle_init(&loop_, &idle_);
    uv_timer_init(&loop_, &stop_timer_);
    stop_timer_.data = this;
    for (std::size_t i = 0; i < signals_.size(); ++i) {
      uv_signal_init(&loop_, &signals_[i]);
      signals_[i].data = this;
      uv_signal_start(
          &signals_[i], [](uv_signal_t* handle, int) { of(handle)->deliver(ShutdownRequested{}); },
          i == 0 ? SIGINT : SIGTERM);
    }
    uv_signal_init(&loop_, &sighup_);
    sighup_.data = this;
    listeners_.resize(listen_addresses_.size());
    try {
      for (std::size_t i = 0; i < listen_addresses_.size(); ++i)
        start_listening(static_cast<int>(i));
    } catch (const LoopError&) {
      close_all();  // the loop still refers to handles in this object
      throw;
    }
  }

  ~Impl() { close_all(); }

  void close_all() {
    closing_ = true;
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

  // Handles SIGHUP only if there is a file to reload: other commands are to end with their terminal.
  void reload_on_sighup(std::string path) {
    reload_path_ = std::move(path);
    uv_signal_start(
        &sighup_, [](uv_signal_t* handle, int) { of(handle)->reload(); }, SIGHUP);
  }
  std::uint16_t port(int listener) const { return listen_addresses_.at(listener).port; }
  Duration now() {
    if (!time_cached_) {
      cached_time_ = Duration(static_cast<std::int64_t>(uv_hrtime() / 1000 - origin_));
      time_cached_ = true;
    }
    return cached_time_;
  }
  std::uint64_t origin() const { return origin_; }

 private:
  // A socket and what is left to do with it. Outlives its entry in `connections_` while it lingers.
  struct Connection {
    Impl* owner = nullptr;
    ConnectionId id = 0;
    uv_tcp_t socket{};
    uv_connect_t connecting{};
    uv_timer_t linger_timer{};
    bool lingering = false;  // closed by the core; sends its last bytes, then waits for the peer
    // Bytes of the batch of actions being performed, and whether they are to be flushed at its end.
    std::string send_buffer;
    bool flush_pending = false;
    bool reading = false;
    bool writing = false;
    bool connected = false;
    bool detached = false;  // closed by the core or lost: delivers no more events
    bool shut_after = false;
    bool all_sent = false;       // all bytes and the end of the stream are with the kernel
    bool peer_finished = false;  // the peer has shut down its sending side
    int closing_handles = 0;
  };
  // A write that the kernel did not take at once, with its bytes.
  struct PendingWrite {
    uv_write_t request{};
    Connection* connection = nullptr;
    std::string bytes;
  };
  struct Listener {
    uv_tcp_t socket{};
    Impl* owner = nullptr;
    int index = 0;
  };
  template <typename Handle>
  static Impl* of(Handle* handle) {
    return static_cast<Impl*>(handle->data);
  }

  void deliver(const IoEvent& event) {
    if (stopping_)
      return;  // the core has asked to stop
    std::vector<Action> actions;
    core_.handle(now(), event, actions);
    perform(actions);
    while (!flushed_.empty() || !unstored_tickets_.empty()) {
      while (!unstored_tickets_.empty()) {
        const auto ticket = unstored_tickets_.front();
        unstored_tickets_.pop_front();
        actions.clear();
        core_.handle(now(), Persisted{ticket, ""}, actions);
        perform(actions);
      }
      std::vector<ConnectionId> ready;
      ready.swap(flushed_);
      for (const auto id : ready) {
        if (!connections_.contains(id))
          continue;
        actions.clear();
        core_.handle(now(), Flushed{id}, actions);
        perform(actions);
      }
    }
  }

  // Input counts as drained after one more full iteration of the loop: libuv reports the end of a connection
  // only in the iteration after its last bytes. The idle handle keeps that iteration from blocking.
  void request_drain() {
    if (std::exchange(drain_requested_, true))
      return;
    uv_idle_start(&idle_, [](uv_idle_t*) {});
  }
  void finish_drain() {
    if (!std::exchange(draining_, false))
      return;
    drain_requested_ = false;
    uv_idle_stop(&idle_);
    deliver(InputDrained{});
  }

  void reload() {
    std::ifstream file(reload_path_);
    std::ostringstream text;
    text << file.rdbuf();
    if (file)
      return deliver(ConfigReloaded{text.str()});
    if (log_)
      log_(now(),
           LogLine{"reread_failed", {{"file", reload_path_}, {"cause", std::string(std::strerror(errno))}}});
  }

  void perform(std::vector<Action>& actions) {
    std::vector<ConnectionId> to_flush;
    for (auto& action : actions) {
      std::visit(Overloaded{
                     [&](Dial& a) { dial(a); },
                     [&](Send& a) {
                       auto* to = find(a.connection);
                       if (!to || to->detached)
                         return;
                       if (to->send_buffer.empty())
                         to->send_buffer = std::move(a.bytes);
                       else
                         to->send_buffer += a.bytes;
                       if (!std::exchange(to->flush_pending, true))
                         to_flush.push_back(a.connection);
                     },
                     [&](Close& a) { start_close(a); },
                     [&](FinishSending& a) { finish_sending(a); },
                     [&](PauseReading& a) {
                       auto* from = find(a.connection);
                       if (from && from->reading)
                         uv_read_stop(stream(*from)), from->reading = false;
                     },
                     [&](ResumeReading& a) {
                       if (auto* from = find(a.connection))
                         read(*from);
                     },
                     [&](StartTimer& a) { start_timer(a.at); },
                     [&](Listen& a) { start_listening(a.listener); },
                     [&](StopListening& a) { stop_listening(a.listener); },
                     [&](WriteFile& a) { write_file(a); },
                     [&](Persist& a) { persist(std::move(a)); },
                     [&](LogLine& a) {
                       if (log_)
                         log_(now(), a);
                     },
                     [&](DrainInput&) { request_drain(); },
                     [&](StopLoop& a) { stop(a.timeout); },
                 },
                 action);
    }
    for (const auto id : to_flush) {
      if (auto* to = find(id))
        flush(*to);
    }
    stop_if_done();
  }

  // Guards against a peer that never reads keeping the process alive, by a limit on the wait for it.
  void stop(Duration timeout) {
    if (std::exchange(stopping_, true))
      return;
    for (std::size_t i = 0; i < listeners_.size(); ++i)
      stop_listening(static_cast<int>(i));
    uv_update_time(&loop_);
    uv_timer_start(
        &stop_timer_, [](uv_timer_t* t) { uv_stop(t->loop); },
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, timeout.count() / 1000)), 0);
  }

  // Guards against truncating the last answers by waiting for lingering connections.
  void stop_if_done() {
    if (stopping_ && lingering_count_ == 0)
      uv_stop(&loop_);
  }

  static uv_stream_t* stream(Connection& connection) {
    return reinterpret_cast<uv_stream_t*>(&connection.socket);
  }
  Connection* find(ConnectionId id) {
    const auto found = connections_.find(id);
    return found == connections_.end() ? nullptr : found->second;
  }

  Connection* add_connection(ConnectionId id) {
    auto* connection = new Connection;  // deleted when libuv has closed its handles
    connection->owner = this;
    connection->id = id;
    uv_tcp_init(&loop_, &connection->socket);
    connection->socket.data = connection;
    connections_[id] = connection;
    return connection;
  }

  void dial(const Dial& action) {
    auto* connection = add_connection(action.connection);
    connection->connecting.data = connection;
    sockaddr_in address{};
    int code = uv_ip4_addr(action.address.c_str(), action.port, &address);
    if (!code)
      code =
          uv_tcp_connect(&connection->connecting, &connection->socket,
                         reinterpret_cast<const sockaddr*>(&address), [](uv_connect_t* request, int status) {
                           auto* connection = static_cast<Connection*>(request->data);
                           if (connection->detached)
                             return;
                           connection->owner->connected(*connection, status);
                         });
    if (!code)
      return;
    // An immediate error is a local one (no descriptor, port or route): libuv always reports a refusal by the
    // peer through the callback. It is delivered from the event loop, by a timer of its own, as the core's
    // timer may be set for later.
    failed_dials_.push_back(action.connection);
    uv_timer_start(
        &dial_failure_timer_,
        [](uv_timer_t* t) {
          auto* self = of(t);
          std::vector<ConnectionId> failed;
          failed.swap(self->failed_dials_);
          for (const auto id : failed) {
            if (auto* connection = self->find(id))
              self->disconnect(*connection, CloseReason::local_failure);
          }
        },
        0, 0);
  }

  void connected(Connection& connection, int status) {
    const ConnectionId id = connection.id;
    if (status < 0)
      return disconnect(connection, status == UV_ECONNREFUSED ? CloseReason::refused : CloseReason::reset);
    connection.connected = true;
    uv_tcp_nodelay(&connection.socket, 1);
    read(connection);
    deliver(Connected{id});
  }

  void read(Connection& connection) {
    if (connection.reading || connection.detached || !connection.connected)
      return;
    connection.reading = true;
    uv_read_start(
        stream(connection),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
          auto& shared = static_cast<Connection*>(handle->data)->owner->read_buffer_;
          *buffer = uv_buf_init(shared.data(), static_cast<unsigned>(shared.size()));
        },
        [](uv_stream_t* s, ssize_t count, const uv_buf_t* buffer) {
          auto& connection = *static_cast<Connection*>(s->data);
          if (connection.detached) {
            // Guards against truncating the answer to a peer that has only shut down its sending side.
            if (count == UV_EOF && !connection.all_sent) {
              connection.peer_finished = true;
              uv_read_stop(s);
            } else if (count < 0) {
              connection.owner->close(connection);
            }
            return;  // input is discarded while the connection lingers
          }
          if (count > 0)
            connection.owner->deliver(
                Received{connection.id, {buffer->base, static_cast<std::size_t>(count)}});
          else if (count == UV_EOF) {
            uv_read_stop(s);
            connection.reading = false;
            connection.owner->deliver(HalfClosed{connection.id});
          } else if (count < 0) {
            connection.owner->disconnect(connection, CloseReason::reset);
          }
        });
  }

  void disconnect(Connection& connection, CloseReason reason) {
    const ConnectionId id = connection.id;
    connection.detached = true;
    close(connection);
    deliver(Disconnected{id, reason});
  }

  void flush(Connection& connection) {
    connection.flush_pending = false;
    if (connection.detached && !connection.shut_after)
      return;
    std::string bytes;
    bytes.swap(connection.send_buffer);
    if (bytes.empty())
      return;
    std::size_t sent = 0;
    if (!connection.writing && connection.connected) {
      uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
      const int count = uv_try_write(stream(connection), &buffer, 1);
      if (count > 0)
        sent = static_cast<std::size_t>(count);
    }
    if (sent == bytes.size()) {
      if (!connection.detached)
        flushed_.push_back(connection.id);
      return;
    }
    auto* pending = new PendingWrite;
    pending->connection = &connection;
    pending->bytes = sent == 0 ? std::move(bytes) : bytes.substr(sent);
    pending->request.data = pending;
    uv_buf_t buffer = uv_buf_init(pending->bytes.data(), static_cast<unsigned>(pending->bytes.size()));
    connection.writing = true;
    const int code =
        uv_write(&pending->request, stream(connection), &buffer, 1, [](uv_write_t* request, int status) {
          std::unique_ptr<PendingWrite> done(static_cast<PendingWrite*>(request->data));
          auto& connection = *done->connection;
          if (uv_is_closing(reinterpret_cast<uv_handle_t*>(&connection.socket)))
            return;
          connection.writing = stream(connection)->write_queue_size > 0;
          if (connection.detached)
            return;
          if (status < 0)
            return connection.owner->disconnect(connection, CloseReason::reset);
          if (!connection.writing)
            connection.owner->deliver(Flushed{connection.id});
        });
    if (code)
      delete pending;
  }

  void finish_sending(const FinishSending& action) {
    auto* connection = find(action.connection);
    if (!connection || connection->detached || !connection->connected)
      return;
    flush(*connection);
    auto* request = new uv_shutdown_t;
    const auto done = [](uv_shutdown_t* r, int) { delete r; };
    if (uv_shutdown(request, stream(*connection), done))
      delete request;  // the connection is broken, which reading reports
  }

  void start_close(const Close& action) {
    auto* connection = find(action.connection);
    if (!connection || connection->detached)
      return;
    if (action.after_sending && connection->connected) {
      flush(*connection);
      connection->detached = true;
      connections_.erase(connection->id);
      auto* request = new uv_shutdown_t;
      request->data = connection;
      uv_timer_init(&loop_, &connection->linger_timer);
      connection->linger_timer.data = connection;
      connection->lingering = true;
      ++lingering_count_;
      // The time for the peer to read begins when the kernel has all bytes.
      const auto shutdown_done = [](uv_shutdown_t* r, int) {
        std::unique_ptr<uv_shutdown_t> done(r);
        auto& connection = *static_cast<Connection*>(r->data);
        if (uv_is_closing(reinterpret_cast<uv_handle_t*>(&connection.linger_timer)))
          return;
        connection.all_sent = true;
        connection.peer_finished ? connection.owner->close(connection)
                                 : start_linger_timer(connection, linger_ms);
      };
      if (uv_shutdown(request, stream(*connection), shutdown_done)) {
        delete request;
        return close(*connection);
      }
      start_linger_timer(*connection, final_send_ms);
      if (!connection->reading) {
        connection->detached = false;
        read(*connection);
        connection->detached = true;
      }
      return;
    }
    connection->detached = true;
    close(*connection, true);
  }

  static void start_linger_timer(Connection& connection, std::uint64_t ms) {
    uv_timer_start(
        &connection.linger_timer,
        [](uv_timer_t* t) {
          auto& connection = *static_cast<Connection*>(t->data);
          connection.owner->close(connection);
        },
        ms, 0);
  }

  void close(Connection& connection, bool reset = false) {
    if (const auto found = connections_.find(connection.id);
        found != connections_.end() && found->second == &connection)
      connections_.erase(found);
    if (uv_is_closing(reinterpret_cast<uv_handle_t*>(&connection.socket)))
      return;
    const auto closed = [](uv_handle_t* handle) {
      auto* connection = static_cast<Connection*>(handle->data);
      if (--connection->closing_handles == 0)
        delete connection;
    };
    connection.closing_handles = connection.lingering ? 2 : 1;
    if (connection.lingering)
      --lingering_count_;
    stop_if_done();
    if (connection.lingering)
      uv_close(reinterpret_cast<uv_handle_t*>(&connection.linger_timer), closed);
    if (!reset || uv_tcp_close_reset(&connection.socket, closed) != 0)
      uv_close(reinterpret_cast<uv_handle_t*>(&connection.socket), closed);
  }

  void start_timer(Duration at) {
    timer_at_ = at;
    const auto in = std::max<std::int64_t>(0, (at - now()).count());
    uv_update_time(&loop_);
    uv_timer_start(
        &core_timer_, [](uv_timer_t* t) { of(t)->timer_expired(); },
        static_cast<std::uint64_t>((in + 999) / 1000), 0);
  }
  // Guards against TimerFired before the time asked for, after which the core would wait forever: libuv
  // counts whole milliseconds and may fire up to one early.
  void timer_expired() {
    time_cached_ = false;
    now() < timer_at_ ? start_timer(timer_at_) : deliver(TimerFired{});
  }

  void start_listening(int index) {
    auto& listener = listeners_.at(index);
    if (listener)
      return;
    auto& listen_address = listen_addresses_.at(index);
    const auto description =
        "listening at " + listen_address.address + ":" + std::to_string(listen_address.port);
    listener = new Listener;
    listener->owner = this;
    listener->index = index;
    uv_tcp_init(&loop_, &listener->socket);
    listener->socket.data = listener;
    const auto address = to_socket_address(listen_address.address, listen_address.port);
    int code = uv_tcp_bind(&listener->socket, reinterpret_cast<const sockaddr*>(&address), 0);
    if (!code)
      code = uv_listen(reinterpret_cast<uv_stream_t*>(&listener->socket), listen_backlog,
                       [](uv_stream_t* s, int status) {
                         auto* l = static_cast<Listener*>(s->data);
                         if (status == 0)
                           l->owner->accept(*l);
                       });
    if (code) {
      stop_listening(index);
      fail(description, code);
    }
    sockaddr_in bound{};
    int size = sizeof bound;
    uv_tcp_getsockname(&listener->socket, reinterpret_cast<sockaddr*>(&bound), &size);
    listen_address.port = ntohs(bound.sin_port);
  }

  void stop_listening(int index) {
    auto*& listener = listeners_.at(index);
    if (!listener)
      return;
    uv_close(reinterpret_cast<uv_handle_t*>(&listener->socket),
             [](uv_handle_t* handle) { delete static_cast<Listener*>(handle->data); });
    listener = nullptr;
  }

  void accept(Listener& listener) {
    while (next_accepted_ < first_accepted || connections_.contains(next_accepted_))
      ++next_accepted_;
    auto* connection = add_connection(next_accepted_++);
    if (uv_accept(reinterpret_cast<uv_stream_t*>(&listener.socket), stream(*connection))) {
      connection->detached = true;
      return close(*connection);
    }
    connection->connected = true;
    uv_tcp_nodelay(&connection->socket, 1);
    const ConnectionId id = connection->id;
    deliver(Accepted{id, listener.index});
    if (auto* still = find(id))
      read(*still);
  }

  // Stores one batch at a time, so that each is durable before the next.
  void persist(Persist&& action) {
    if (!storage_)
      return unstored_tickets_.push_back(action.ticket);
    persist_queue_.push_back(std::move(action));
    if (persist_queue_.size() == 1)
      persist_next();
  }
  void persist_next() {
    persist_work_.data = this;
    const int code = uv_queue_work(
        &loop_, &persist_work_,
        [](uv_work_t* work) {
          auto& self = *of(work);
          const auto& next = self.persist_queue_.front();
          self.persist_error_ = self.storage_->persist(next.ticket, next.bytes, next.replaces_all);
        },
        [](uv_work_t* work, int status) {
          auto& self = *of(work);
          const auto ticket = self.persist_queue_.front().ticket;
          const auto error =
              status == UV_ECANCELED ? std::string("cancelled before it was stored") : self.persist_error_;
          self.persist_queue_.pop_front();
          if (!self.persist_queue_.empty())
            self.persist_next();
          if (!self.closing_)
            self.deliver(Persisted{ticket, error});
        });
    if (code)
      fail("queueing storage work", code);
  }

  // Writes a temporary file and renames it, so that a reader sees either the old or the new file, complete.
  void write_file(const WriteFile& action) {
    if (folder_.empty())
      return;
    const auto path = folder_ + "/" + action.name;
    const auto temporary_path = path + ".new";
    std::FILE* file = std::fopen(temporary_path.c_str(), "wb");
    bool complete =
        file && std::fwrite(action.bytes.data(), 1, action.bytes.size(), file) == action.bytes.size();
    if (file)
      complete = std::fclose(file) == 0 && complete;
    if (complete && std::rename(temporary_path.c_str(), path.c_str()) == 0)
      return;
    if (log_)
      log_(now(), LogLine{"store_failed", {{"file", path}, {"cause", std::string(std::strerror(errno))}}});
  }

  Core& core_;
  std::function<void(Duration, const LogLine&)> log_;
  std::string folder_;
  uv_loop_t loop_{};
  uv_timer_t core_timer_{};
  uv_timer_t dial_failure_timer_{};
  uv_timer_t stop_timer_{};
  uv_prepare_t prepare_{};
  uv_check_t check_{};
  uv_idle_t idle_{};
  bool drain_requested_ = false, draining_ = false;
  std::array<uv_signal_t, 2> signals_{};
  uv_signal_t sighup_{};
  std::string reload_path_;
  std::uint64_t origin_ = 0;
  Duration cached_time_{0};
  Duration timer_at_{0};
  bool time_cached_ = false;
  std::vector<ListenAddress> listen_addresses_;
  std::vector<Listener*> listeners_;
  std::unordered_map<ConnectionId, Connection*> connections_;
  ConnectionId next_accepted_ = first_accepted;
  std::vector<ConnectionId> flushed_;
  std::vector<ConnectionId> failed_dials_;
  Storage* storage_ = nullptr;
  std::deque<Persist> persist_queue_;           // the first is being stored
  std::deque<std::uint64_t> unstored_tickets_;  // to be reported as persisted, for want of a storage
  std::string persist_error_;
  uv_work_t persist_work_{};
  bool closing_ = false;
  bool stopping_ = false;
  int lingering_count_ = 0;
  std::array<char, read_buffer_size> read_buffer_;
};

Loop::Loop(Core& core, std::vector<ListenAddress> listen_addresses,
           std::function<void(Duration, const LogLine&)> log, std::string folder, Storage* storage)
    : impl_(std::make_unique<Impl>(core, std::move(listen_addresses), std::move(log), std::move(folder),
                                   storage)) {}
Loop::~Loop() = default;
std::uint16_t Loop::port(int listener) const { return impl_->port(listener); }
void Loop::reload_on_sighup(std::string path) { impl_->reload_on_sighup(std::move(path)); }
void Loop::run() { impl_->run(); }
Duration Loop::now() const { return impl_->now(); }
std::uint64_t Loop::machine_clock_us() { return uv_hrtime() / 1000; }
std::uint64_t Loop::origin_us() const { return impl_->origin(); }

}  // namespace violettide::runtime
