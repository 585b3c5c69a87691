// Model of a small cluster that runs the production ledger: managers crash and restart from their logs,
// messages are lost, duplicated and reordered, viewers claim seats, retry at other managers and leave, and
// time passes. After every step it checks that no more seats are in use than the team has.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "entitlement/ledger/ledger.h"

namespace violettide::entitlement::model {

// The size of the cluster, and how often each kind of step may happen.
struct Bounds {
  int managers = 2, viewers = 2, seats = 1;
  int crashes = 1, losses = 1, copies = 1, ticks = 3, claims = 3, leaves = 2;
};

struct Viewer {
  std::vector<Duration> admitted_until;  // by manager; 0: not admitted there
  std::vector<int> unanswered;           // by manager: claims without an answer
};

class ClusterModel {
 public:
  ClusterModel(const Bounds& bounds, LedgerSettings::InjectedFaults injected_faults)
      : bounds_(bounds), injected_faults_(injected_faults) {
    for (int m = 0; m < bounds.managers; ++m) {
      managers_.push_back({});
      start(m);
    }
    viewers_.resize(static_cast<std::size_t>(bounds.viewers));
    for (auto& viewer : viewers_) {
      viewer.admitted_until.resize(managers_.size());
      viewer.unanswered.resize(managers_.size());
    }
  }

  // One transition of the model.
  struct Step {
    enum class Kind { claim, leave, deliver, copy, lose, persisted, crash, restart, tick } kind;
    int index = 0;    // of the viewer, message or manager concerned
    int manager = 0;  // of a claim or a leave
  };
  // All steps that are possible in the present state.
  std::vector<Step> steps() const {
    std::vector<Step> all;
    using Kind = Step::Kind;
    const int managers = static_cast<int>(managers_.size());
    for (int m = 0; m < managers; ++m) {
      const auto& manager = managers_[static_cast<std::size_t>(m)];
      if (!manager.ledger) {
        all.push_back({Kind::restart, m});
        continue;
      }
      for (int v = 0; v < static_cast<int>(viewers_.size()); ++v) {
        if (remaining_.claims > 0 &&
            viewers_[static_cast<std::size_t>(v)].unanswered[static_cast<std::size_t>(m)] == 0)
          all.push_back({Kind::claim, v, m});
        if (remaining_.leaves > 0 &&
            viewers_[static_cast<std::size_t>(v)].admitted_until[static_cast<std::size_t>(m)] > now_)
          all.push_back({Kind::leave, v, m});
      }
      if (!manager.pending.empty())
        all.push_back({Kind::persisted, m});
      if (remaining_.crashes > 0)
        all.push_back({Kind::crash, m});
    }
    for (int i = 0; i < static_cast<int>(in_transit_.size()); ++i) {
      // Delivering either of two equal messages leads to the same state.
      if (i > 0 &&
          in_transit_[static_cast<std::size_t>(i)].text == in_transit_[static_cast<std::size_t>(i - 1)].text)
        continue;
      all.push_back({Kind::deliver, i});
      if (remaining_.copies > 0)
        all.push_back({Kind::copy, i});
      if (remaining_.losses > 0)
        all.push_back({Kind::lose, i});
    }
    if (remaining_.ticks > 0)
      all.push_back({Kind::tick});
    return all;
  }

  // Takes a step. Returns the invariant that it violated, if any.
  std::optional<std::string> step(const Step& step) {
    using Kind = Step::Kind;
    const auto index = static_cast<std::size_t>(step.index);
    const auto manager_index = static_cast<std::size_t>(step.manager);
    switch (step.kind) {
      case Kind::claim:
        --remaining_.claims;
        ++viewers_[index].unanswered[manager_index];
        dispatch(manager_index, SeatClaimed{key(step.index), bounds_.seats, Duration(1), token_until()});
        break;
      case Kind::leave:
        --remaining_.leaves;
        viewers_[index].admitted_until[manager_index] = Duration(0);
        dispatch(manager_index, PlaybackEnded{key(step.index)});
        break;
      case Kind::deliver: {
        const auto message = in_transit_[index];
        in_transit_.erase(in_transit_.begin() + step.index);
        deliver(message);
        break;
      }
      case Kind::copy: {
        --remaining_.copies;
        const auto message = in_transit_[index];
        deliver(message);
        break;
      }
      case Kind::lose:
        --remaining_.losses;
        in_transit_.erase(in_transit_.begin() + step.index);
        break;
      case Kind::persisted: {
        auto& manager = managers_[index];
        manager.log.push_back(manager.pending.front().record);
        const auto ticket = manager.pending.front().ticket;
        manager.pending.erase(manager.pending.begin());
        dispatch(index, RecordsPersisted{ticket});
        break;
      }
      case Kind::crash:
        --remaining_.crashes;
        managers_[index].ledger.reset();
        managers_[index].pending.clear();
        for (auto& viewer : viewers_)
          viewer.admitted_until[index] = Duration(0), viewer.unanswered[index] = 0;
        break;
      case Kind::restart:
        start(step.index);
        dispatch(index, Ticked{});
        break;
      case Kind::tick:
        --remaining_.ticks;
        now_ += Duration(1);
        for (std::size_t m = 0; m < managers_.size(); ++m) {
          if (managers_[m].ledger)
            dispatch(m, Ticked{});
        }
        break;
    }
    return violation_ ? violation_ : check();
  }

  // Lets the cluster become idle: nobody claims, all viewers leave, all messages are delivered, time passes.
  // Returns an error for a seat still held then, which has leaked, or for a claim that was never answered.
  std::optional<std::string> quiesce() {
    remaining_ = {};
    for (int round = 0; round < 200; ++round) {
      for (std::size_t m = 0; m < managers_.size(); ++m) {
        if (!managers_[m].ledger)
          step({Step::Kind::restart, static_cast<int>(m)});
        while (!managers_[m].pending.empty())
          step({Step::Kind::persisted, static_cast<int>(m)});
      }
      for (int many = 0; !in_transit_.empty() && many < 1000; ++many)
        step({Step::Kind::deliver, 0});
      for (std::size_t v = 0; v < viewers_.size(); ++v) {
        for (std::size_t m = 0; m < managers_.size(); ++m) {
          if (viewers_[v].admitted_until[m] > now_)
            step({Step::Kind::leave, static_cast<int>(v), static_cast<int>(m)});
        }
      }
      if (violation_)
        return violation_;
      if (round >= 20 && round < 60)
        step({Step::Kind::tick});
      remaining_ = {};
    }
    for (std::size_t v = 0; v < viewers_.size(); ++v) {
      for (std::size_t m = 0; m < managers_.size(); ++m) {
        if (viewers_[v].unanswered[m] > 0)
          return "viewer " + std::to_string(v) + " never got an answer";
      }
    }
    for (const auto& manager : managers_) {
      if (const auto counts = manager.ledger->counts(); counts.granted + counts.held + counts.pending > 0)
        return "a seat has leaked";
    }
    return std::nullopt;
  }

  std::string fingerprint() const {
    std::string text = std::to_string(now_.count());
    for (const int remaining : {remaining_.crashes, remaining_.losses, remaining_.copies, remaining_.ticks,
                                remaining_.claims, remaining_.leaves})
      text += "," + std::to_string(remaining);
    for (const auto& manager : managers_) {
      text += "#" + std::to_string(manager.restarts);
      if (manager.ledger)
        text += manager.ledger->fingerprint();
      for (const auto& record : manager.log)
        text += describe(record);
      text += "/";
      for (const auto& pending : manager.pending)
        text += describe(pending.record);
    }
    for (const auto& message : in_transit_)
      text += "@" + message.text;
    for (const auto& viewer : viewers_) {
      for (const auto until : viewer.admitted_until)
        text += "v" + std::to_string(until.count());
      for (const int unanswered : viewer.unanswered)
        text += "a" + std::to_string(unanswered);
    }
    return text;
  }

 private:
  struct Pending {
    std::uint64_t ticket = 0;
    Record record;
  };
  struct Manager {
    std::optional<Ledger> ledger;
    std::vector<Record> log;
    std::vector<Pending> pending;
    std::uint32_t restarts = 0;
  };
  struct InFlight {
    PeerIndex from = 0, to = 0;
    Message message;
    std::string text;
  };

  SeatKey key(int viewer) const { return {"team", "v" + std::to_string(viewer)}; }
  // Tokens live for a few ticks, so that expiry interleaves with the other steps.
  Duration token_until() const { return now_ + Duration(3); }

  void start(int m) {
    auto& manager = managers_[static_cast<std::size_t>(m)];
    LedgerSettings settings;
    settings.self = static_cast<PeerIndex>(m);
    for (int p = 0; p < bounds_.managers; ++p)
      settings.peers.push_back("m" + std::to_string(p));
    settings.resend_interval = Duration(1);
    settings.claim_timeout = Duration(2);
    settings.skew = Duration(0);  // the model has one clock
    settings.resume_window = Duration(2);
    settings.injected_faults = injected_faults_;
    manager.ledger.emplace(settings, ++manager.restarts, now_, manager.log);
  }

  void dispatch(std::size_t m, const LedgerEvent& event) {
    auto& manager = managers_[m];
    for (auto& act : manager.ledger->handle(now_, event))
      apply_action(m, act);
  }

  void deliver(const InFlight& message) {
    if (managers_[message.to].ledger)
      dispatch(message.to, MessageReceived{message.from, message.message});
  }

  void apply_action(std::size_t m, LedgerAction& act) {
    if (auto* admit = std::get_if<Admit>(&act)) {
      auto& viewer = viewers_[static_cast<std::size_t>(admit->key.viewer_session[1] - '0')];
      viewer.admitted_until[m] = std::max(viewer.admitted_until[m], admit->until);
      viewer.unanswered[m] = 0;
    } else if (auto* away = std::get_if<RejectClaim>(&act)) {
      viewers_[static_cast<std::size_t>(away->key.viewer_session[1] - '0')].unanswered[m] = 0;
    } else if (auto* end = std::get_if<EndPlayback>(&act)) {
      viewers_[static_cast<std::size_t>(end->key.viewer_session[1] - '0')].admitted_until[m] = Duration(0);
    } else if (auto* send = std::get_if<SendToPeer>(&act)) {
      InFlight in_flight{static_cast<PeerIndex>(m), send->to, send->message, ""};
      in_flight.text = std::to_string(m) + ">" + std::to_string(send->to) + describe(send->message);
      // Stores equal messages once, resent ones too: order and duplication are chosen by steps of their own.
      const auto at = std::lower_bound(in_transit_.begin(), in_transit_.end(), in_flight,
                                       [](auto& left, auto& right) { return left.text < right.text; });
      if (at == in_transit_.end() || at->text != in_flight.text)
        in_transit_.insert(at, in_flight);
    } else if (auto* keep = std::get_if<PersistRecord>(&act)) {
      managers_[m].pending.push_back({keep->ticket, keep->record});
    }
  }

  std::optional<std::string> check() const {
    int in_use = 0;
    for (const auto& viewer : viewers_)
      in_use += std::any_of(viewer.admitted_until.begin(), viewer.admitted_until.end(),
                            [&](Duration until) { return until > now_; });
    if (in_use > bounds_.seats)
      return std::to_string(in_use) + " viewers play on " + std::to_string(bounds_.seats) + " seats";
    for (const auto& manager : managers_) {
      if (manager.ledger && manager.ledger->counts().granted > static_cast<std::size_t>(bounds_.seats))
        return "the owner granted more seats than there are";
    }
    return std::nullopt;
  }

  static std::string describe(const Record& r) {
    return std::to_string(static_cast<int>(r.kind)) + r.key.viewer_session + "." + std::to_string(r.holder) +
           "." + std::to_string(r.number) + "." + std::to_string(r.until.count());
  }
  static std::string describe(const Message& message) {
    return std::to_string(message.index()) + std::visit(
                                                 [](const auto& m) {
                                                   auto text =
                                                       m.key.viewer_session + "." + std::to_string(m.number);
                                                   if constexpr (requires { m.until; })
                                                     text += "." + std::to_string(m.until.count());
                                                   return text;
                                                 },
                                                 message);
  }

  Bounds bounds_;
  Bounds remaining_ = bounds_;
  LedgerSettings::InjectedFaults injected_faults_;
  std::vector<Manager> managers_;
  std::vector<Viewer> viewers_;
  std::vector<InFlight> in_transit_;
  std::optional<std::string> violation_;
  Duration now_{10};
};

}  // namespace violettide::entitlement::model
