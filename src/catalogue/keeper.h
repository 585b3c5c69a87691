// Decides what becomes of changes: which are taken, refused, held for confirmation or caught up from a
// feed, and what is answered when. A change is answered only after it is kept. Free of I/O and clock.
#pragma once

#include <deque>

#include "catalogue/catalogue.h"

namespace violettide::catalogue {

struct KeeperTerms {
  double shrink_believed = 0.7;     // a batch that leaves under this part of the locations is held
  std::size_t small = 20;           // locations: fewer may go at once
  std::size_t batches_kept = 4096;  // for feeds that catch up
  std::size_t most_waiting = 256;   // batches that wait to be kept
};

// What happened.
struct Asked {  // by an operator or a tool
  std::uint64_t ticket = 0;
  std::optional<Revision> if_revision;
  bool confirmed = false;  // of a shrink
  std::vector<Change> changes;
};
struct Kept {  // what ToKeep asked for
  Revision revision = 0;
  std::optional<std::string> failed;  // the cause
};
struct Fed {  // batches of another's feed, the first of them revision `from`
  Revision from = 0;
  std::vector<std::vector<Change>> batches;
};
struct FedWhole {  // a whole snapshot, where the feed's log no longer reached back
  Revision revision = 0;
  std::vector<Recording> recordings;
};
using KeeperEvent = std::variant<Asked, Kept, Fed, FedWhole>;

// What is to be done.
enum class Answered { taken, stale, bad, held, not_kept, busy };
struct Answer {
  std::uint64_t ticket = 0;
  Answered how = Answered::taken;
  Revision revision = 0;  // the present one, or that of the batch
  Bad bad;
  std::string cause;
};
struct ToKeep {
  Revision revision = 0;
  std::vector<Change> changes;
  bool whole = false;  // a snapshot in place of all before: the changes are its recordings
};
struct Changed {  // of the present snapshot: decisions that wait on these look again
  std::vector<RecordingId> recordings;
  bool whole = false;
};
struct AskFeed {  // go on from here; `whole`: the batches after `after` can't be had or don't follow
  Revision after = 0;
  bool whole = false;
  std::string cause;
};
using KeeperAct = std::variant<Answer, ToKeep, Changed, AskFeed>;

class Keeper {
 public:
  Keeper(KeeperTerms terms, BoxIndex boxes, int rungs);
  std::vector<KeeperAct> handle(const KeeperEvent& event);

  const SnapshotPtr& present() const { return writer_.present(); }
  // At the start: what was kept before, in order. A batch that doesn't follow is told, not taken.
  std::optional<std::string> restore(Revision revision, const std::vector<Recording>& recordings);
  std::optional<std::string> restore(Revision revision, const std::vector<Change>& changes);
  // Batches after a revision, for others' feeds; absent: it no longer reaches back so far.
  std::optional<std::vector<std::pair<Revision, const std::vector<Change>*>>> after(Revision revision,
                                                                                    std::size_t most) const;

 private:
  struct Waiting {
    std::optional<Asked> asked;  // absent: fed
    std::vector<Change> changes;
    std::optional<FedWhole> whole;
    Revision expected = 0;  // of a fed one
  };
  void next(std::vector<KeeperAct>& actions);
  bool begin(Waiting& waiting, std::vector<KeeperAct>& actions);
  void on(const Asked& what, std::vector<KeeperAct>& actions);
  void on(const Kept& what, std::vector<KeeperAct>& actions);
  void on(const Fed& what, std::vector<KeeperAct>& actions);
  void on(const FedWhole& what, std::vector<KeeperAct>& actions);
  bool shrinks(const Applied& applied) const;

  KeeperTerms terms_;
  Writer writer_;
  std::deque<Waiting> waiting_;  // the first is being kept
  bool keeping_ = false;
  std::optional<Applied> applying_;
  std::deque<std::pair<Revision, std::vector<Change>>> log_;
  std::optional<Revision> held_;  // a fed shrink seen once, at this revision
};

}  // namespace violettide::catalogue
