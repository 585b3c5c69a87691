// The ledger's world in small: managers that crash and restart with what their disks kept, messages that are
// lost, doubled and come in any order, viewers that claim, retry elsewhere and leave, and time. The very
// ledger code runs in it; what is checked after every step is what seats are for.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "entitlement/ledger/ledger.h"

namespace violettide::entitlement::model {

struct Size {
  int managers = 2, viewers = 2, seats = 1;
  int crashes = 1, losses = 1, copies = 1, ticks = 3, claims = 3, leaves = 2;
};

struct Viewer {
  std::vector<Duration> plays;  // by manager: until when it is admitted there; 0: it is not
  std::vector<int> asked;       // by manager: claims without an answer
};

class World {
 public:
  World(const Size& size, LedgerTerms::Planted planted) : size_(size), planted_(planted) {
    for (int m = 0; m < size.managers; ++m) {
      managers_.push_back({});
      start(m);
    }
    viewers_.resize(static_cast<std::size_t>(size.viewers));
    for (auto& viewer : viewers_) {
      viewer.plays.resize(managers_.size());
      viewer.asked.resize(managers_.size());
    }
  }

  // So many next steps there are now; step(i) takes one. What is wrong then, if anything.
  struct Step {
    enum class What { claim, leave, deliver, copy, lose, kept, crash, restart, tick } what;
    int a = 0, b = 0;
  };
  std::vector<Step> steps() const {
    std::vector<Step> all;
    using What = Step::What;
    const int managers = static_cast<int>(managers_.size());
    for (int m = 0; m < managers; ++m) {
      const auto& manager = managers_[static_cast<std::size_t>(m)];
      if (!manager.ledger) {
        all.push_back({What::restart, m});
        continue;
      }
      for (int v = 0; v < static_cast<int>(viewers_.size()); ++v) {
        if (left_.claims > 0 && viewers_[static_cast<std::size_t>(v)].asked[static_cast<std::size_t>(m)] == 0)
          all.push_back({What::claim, v, m});
        if (left_.leaves > 0 &&
            viewers_[static_cast<std::size_t>(v)].plays[static_cast<std::size_t>(m)] > now_)
          all.push_back({What::leave, v, m});
      }
      if (!manager.pending.empty())
        all.push_back({What::kept, m});
      if (left_.crashes > 0)
        all.push_back({What::crash, m});
    }
    for (int i = 0; i < static_cast<int>(wire_.size()); ++i) {
      // Equal messages are one choice.
      if (i > 0 && wire_[static_cast<std::size_t>(i)].print == wire_[static_cast<std::size_t>(i - 1)].print)
        continue;
      all.push_back({What::deliver, i});
      if (left_.copies > 0)
        all.push_back({What::copy, i});
      if (left_.losses > 0)
        all.push_back({What::lose, i});
    }
    if (left_.ticks > 0)
      all.push_back({What::tick});
    return all;
  }

  std::optional<std::string> step(const Step& step) {
    using What = Step::What;
    const auto a = static_cast<std::size_t>(step.a), b = static_cast<std::size_t>(step.b);
    switch (step.what) {
      case What::claim:
        --left_.claims;
        ++viewers_[a].asked[b];
        happen(b, Claimed{key(step.a), size_.seats, Duration(1), token_until()});
        break;
      case What::leave:
        --left_.leaves;
        viewers_[a].plays[b] = Duration(0);
        happen(b, Left{key(step.a)});
        break;
      case What::deliver: {
        const auto message = wire_[a];
        wire_.erase(wire_.begin() + step.a);
        deliver(message);
        break;
      }
      case What::copy: {
        --left_.copies;
        const auto message = wire_[a];
        deliver(message);
        break;
      }
      case What::lose:
        --left_.losses;
        wire_.erase(wire_.begin() + step.a);
        break;
      case What::kept: {
        auto& manager = managers_[a];
        manager.kept.push_back(manager.pending.front().record);
        const auto ticket = manager.pending.front().ticket;
        manager.pending.erase(manager.pending.begin());
        happen(a, Kept{ticket});
        break;
      }
      case What::crash:
        --left_.crashes;
        managers_[a].ledger.reset();
        managers_[a].pending.clear();
        for (auto& viewer : viewers_)
          viewer.plays[a] = Duration(0), viewer.asked[a] = 0;
        break;
      case What::restart:
        start(step.a);
        happen(a, Ticked{});
        break;
      case What::tick:
        --left_.ticks;
        now_ += Duration(1);
        for (std::size_t m = 0; m < managers_.size(); ++m) {
          if (managers_[m].ledger)
            happen(m, Ticked{});
        }
        break;
    }
    return wrong_ ? wrong_ : check();
  }

  // Everything comes to rest: nobody claims, all leave, all is delivered, time goes by. What is left then
  // has leaked; a claim without an answer was forgotten.
  std::optional<std::string> come_to_rest() {
    left_ = {};
    for (int round = 0; round < 200; ++round) {
      for (std::size_t m = 0; m < managers_.size(); ++m) {
        if (!managers_[m].ledger)
          step({Step::What::restart, static_cast<int>(m)});
        while (!managers_[m].pending.empty())
          step({Step::What::kept, static_cast<int>(m)});
      }
      for (int many = 0; !wire_.empty() && many < 1000; ++many)
        step({Step::What::deliver, 0});
      for (std::size_t v = 0; v < viewers_.size(); ++v) {
        for (std::size_t m = 0; m < managers_.size(); ++m) {
          if (viewers_[v].plays[m] > now_)
            step({Step::What::leave, static_cast<int>(v), static_cast<int>(m)});
        }
      }
      if (wrong_)
        return wrong_;
      if (round >= 20 && round < 60)
        step({Step::What::tick});
      left_ = {};
    }
    for (std::size_t v = 0; v < viewers_.size(); ++v) {
      for (std::size_t m = 0; m < managers_.size(); ++m) {
        if (viewers_[v].asked[m] > 0)
          return "viewer " + std::to_string(v) + " never got an answer";
      }
    }
    for (const auto& manager : managers_) {
      if (const auto sums = manager.ledger->sums(); sums.in_book + sums.held + sums.asked > 0)
        return "a seat has leaked";
    }
    return std::nullopt;
  }

  std::string fingerprint() const {
    std::string made = std::to_string(now_.count());
    for (const int left :
         {left_.crashes, left_.losses, left_.copies, left_.ticks, left_.claims, left_.leaves})
      made += "," + std::to_string(left);
    for (const auto& manager : managers_) {
      made += "#" + std::to_string(manager.restarts);
      if (manager.ledger)
        made += manager.ledger->fingerprint();
      for (const auto& record : manager.kept)
        made += print(record);
      made += "/";
      for (const auto& pending : manager.pending)
        made += print(pending.record);
    }
    for (const auto& message : wire_)
      made += "@" + message.print;
    for (const auto& viewer : viewers_) {
      for (const auto until : viewer.plays)
        made += "v" + std::to_string(until.count());
      for (const int asked : viewer.asked)
        made += "a" + std::to_string(asked);
    }
    return made;
  }

 private:
  struct Pending {
    std::uint64_t ticket = 0;
    Record record;
  };
  struct Manager {
    std::optional<Ledger> ledger;
    std::vector<Record> kept;
    std::vector<Pending> pending;
    std::uint32_t restarts = 0;
  };
  struct Flying {
    Peer from = 0, to = 0;
    Message message;
    std::string print;
  };

  SeatKey key(int viewer) const { return {"team", "v" + std::to_string(viewer)}; }
  // Tokens live for a few ticks, so that expiry falls amid everything else.
  Duration token_until() const { return now_ + Duration(3); }

  void start(int m) {
    auto& manager = managers_[static_cast<std::size_t>(m)];
    LedgerTerms terms;
    terms.own = static_cast<Peer>(m);
    for (int p = 0; p < size_.managers; ++p)
      terms.peers.push_back("m" + std::to_string(p));
    terms.ask_again = Duration(1);
    terms.ask_limit = Duration(2);
    terms.skew = Duration(0);  // one clock
    terms.resume = Duration(2);
    terms.planted = planted_;
    manager.ledger.emplace(terms, ++manager.restarts, now_, manager.kept);
  }

  void happen(std::size_t m, const LedgerEvent& event) {
    auto& manager = managers_[m];
    for (auto& act : manager.ledger->handle(now_, event))
      perform(m, act);
  }

  void deliver(const Flying& message) {
    if (managers_[message.to].ledger)
      happen(message.to, Heard{message.from, message.message});
  }

  void perform(std::size_t m, LedgerAct& act) {
    if (auto* admit = std::get_if<Admit>(&act)) {
      auto& viewer = viewers_[static_cast<std::size_t>(admit->key.who[1] - '0')];
      viewer.plays[m] = std::max(viewer.plays[m], admit->until);
      viewer.asked[m] = 0;
    } else if (auto* away = std::get_if<TurnAway>(&act)) {
      viewers_[static_cast<std::size_t>(away->key.who[1] - '0')].asked[m] = 0;
    } else if (auto* end = std::get_if<EndPlayback>(&act)) {
      viewers_[static_cast<std::size_t>(end->key.who[1] - '0')].plays[m] = Duration(0);
    } else if (auto* tell = std::get_if<Tell>(&act)) {
      Flying flying{static_cast<Peer>(m), tell->to, tell->message, ""};
      flying.print = std::to_string(m) + ">" + std::to_string(tell->to) + print(tell->message);
      // One that is on its way already, and a resent one, are as good as one: order and number of copies are
      // the search's to choose, by its own steps.
      const auto at = std::lower_bound(wire_.begin(), wire_.end(), flying,
                                       [](auto& x, auto& y) { return x.print < y.print; });
      if (at == wire_.end() || at->print != flying.print)
        wire_.insert(at, flying);
    } else if (auto* keep = std::get_if<KeepRecord>(&act)) {
      managers_[m].pending.push_back({keep->ticket, keep->record});
    }
  }

  std::optional<std::string> check() const {
    int in_use = 0;
    for (const auto& viewer : viewers_)
      in_use +=
          std::any_of(viewer.plays.begin(), viewer.plays.end(), [&](Duration until) { return until > now_; });
    if (in_use > size_.seats)
      return std::to_string(in_use) + " viewers play on " + std::to_string(size_.seats) + " seats";
    for (const auto& manager : managers_) {
      if (manager.ledger && manager.ledger->sums().in_book > static_cast<std::size_t>(size_.seats))
        return "the book gives out more than there are";
    }
    return std::nullopt;
  }

  static std::string print(const Record& r) {
    return std::to_string(static_cast<int>(r.what)) + r.key.who + "." + std::to_string(r.holder) + "." +
           std::to_string(r.number) + "." + std::to_string(r.until.count());
  }
  static std::string print(const Message& message) {
    return std::to_string(message.index()) + std::visit(
                                                 [](const auto& m) {
                                                   auto made = m.key.who + "." + std::to_string(m.number);
                                                   if constexpr (requires { m.until; })
                                                     made += "." + std::to_string(m.until.count());
                                                   return made;
                                                 },
                                                 message);
  }

  Size size_;
  Size left_ = size_;
  LedgerTerms::Planted planted_;
  std::vector<Manager> managers_;
  std::vector<Viewer> viewers_;
  std::vector<Flying> wire_;
  std::optional<std::string> wrong_;
  Duration now_{10};
};

}  // namespace violettide::entitlement::model
