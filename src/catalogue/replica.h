// One front's replica of the catalogue. Serialises change batches with optimistic concurrency, holds back
// batches that remove too much, and catches up from the change feed of another replica. A batch takes effect,
// and is acknowledged, only after it is durable. Free of I/O and clock: events in, actions out.
#pragma once

#include <deque>

#include "catalogue/catalogue.h"

namespace violettide::catalogue {

struct ReplicaConfig {
  // A batch that leaves less than this part of the locations needs confirmation.
  double min_remaining_share = 0.7;
  std::size_t unguarded_locations = 20;  // catalogues up to this size shrink without confirmation
  std::size_t log_capacity = 4096;       // batches in memory, from which followers catch up
  std::size_t max_pending = 256;         // batches waiting to be made durable
};

// ---- events ----

// An operator or a tool asks for a change. A ChangeResult with the same id follows.
struct ChangeRequest {
  std::uint64_t request_id = 0;
  std::optional<Revision> expected_revision;  // absent: at any revision
  bool confirmed = false;                     // the batch may remove more than min_remaining_share allows
  std::vector<Change> changes;
};
// A PersistBatch has ended: the batch is durable, or `error` says why not.
struct BatchPersisted {
  Revision revision = 0;
  std::optional<std::string> error;
};
// Batches from the feed that this replica follows, in order; the first makes revision `first_revision`.
struct FeedBatches {
  Revision first_revision = 0;
  std::vector<std::vector<Change>> batches;
};
// A full snapshot from the feed, where its log no longer reaches back far enough.
struct FeedSnapshot {
  Revision revision = 0;
  std::vector<Recording> recordings;
};
using ReplicaEvent = std::variant<ChangeRequest, BatchPersisted, FeedBatches, FeedSnapshot>;

// ---- actions ----

enum class ChangeOutcome {
  accepted,               // durable and in effect
  stale,                  // expected_revision is not the current one
  invalid,                // a change can't be applied
  confirmation_required,  // removes too much
  not_durable,            // the store failed
  busy                    // too many batches are pending
};
// Acknowledges or rejects a ChangeRequest.
struct ChangeResult {
  std::uint64_t request_id = 0;
  ChangeOutcome outcome = ChangeOutcome::accepted;
  Revision revision = 0;  // of the accepted batch, else the current one
  InvalidChange invalid_change;
  std::string cause;
};
// Makes a batch durable; BatchPersisted must follow. One is under way at a time.
struct PersistBatch {
  Revision revision = 0;
  std::vector<Change> changes;
  bool full_snapshot = false;  // replaces all earlier batches: `changes` puts every recording
};
// The current snapshot has changed: decisions that wait on these recordings are to be made again.
struct RecordingsChanged {
  std::vector<RecordingId> recordings;
  bool full_snapshot = false;  // any recording may have changed
};
// Polls the feed for what follows `after`. With `full_snapshot`, for the whole catalogue, because the batches
// after it are not to be had or don't apply. `cause`: what went wrong; empty: nothing did.
struct PollFeed {
  Revision after = 0;
  bool full_snapshot = false;
  std::string cause;
};
using ReplicaAction = std::variant<ChangeResult, PersistBatch, RecordingsChanged, PollFeed>;

class Replica {
 public:
  Replica(ReplicaConfig config, BoxIndex boxes, int rungs);
  std::vector<ReplicaAction> handle(const ReplicaEvent& event);

  const SnapshotPtr& current() const { return writer_.current(); }
  // Loads a stored snapshot, or replays one stored batch on top of it, at the start. Returns why it can't be
  // applied, or that its revision does not follow the current one; nothing of it is applied then.
  std::optional<std::string> restore(Revision revision, const std::vector<Recording>& recordings);
  std::optional<std::string> restore(Revision revision, const std::vector<Change>& changes);
  // At most `limit` batches that follow a revision, for followers' feeds; absent: the log does not reach back
  // so far, or the revision lies ahead of the current one.
  std::optional<std::vector<std::pair<Revision, const std::vector<Change>*>>> batches_after(
      Revision revision, std::size_t limit) const;

 private:
  struct PendingBatch {
    std::optional<ChangeRequest> request;  // absent: from the feed
    std::vector<Change> changes;
    std::optional<FeedSnapshot> snapshot;
    Revision feed_revision = 0;  // the revision that the feed gives it
  };
  void start_next(std::vector<ReplicaAction>& actions);
  bool start(PendingBatch& pending, std::vector<ReplicaAction>& actions);
  void on(const ChangeRequest& event, std::vector<ReplicaAction>& actions);
  void on(const BatchPersisted& event, std::vector<ReplicaAction>& actions);
  void on(const FeedBatches& event, std::vector<ReplicaAction>& actions);
  void on(const FeedSnapshot& event, std::vector<ReplicaAction>& actions);
  bool needs_confirmation(const AppliedBatch& applied) const;

  ReplicaConfig config_;
  Writer writer_;
  std::deque<PendingBatch> pending_;  // while persisting_, the first is being made durable
  bool persisting_ = false;
  std::optional<AppliedBatch> applied_;  // what is being made durable
  std::deque<std::pair<Revision, std::vector<Change>>> log_;
  std::optional<Revision> unconfirmed_feed_revision_;  // the feed brought a batch that removes too much, once
};

}  // namespace violettide::catalogue
