// The catalogue as an HTTP resource: parses requests and builds replies. Free of I/O.
//   GET    /catalogue                               totals; the revision as ETag
//   GET    /catalogue/recordings/T                  one recording
//   PUT    /catalogue/recordings/T                  creates or replaces it; the title is taken from the path
//   DELETE /catalogue/recordings/T
//   PUT    /catalogue/recordings/T/locations/BOX    the body may give state and since_ms
//   DELETE /catalogue/recordings/T/locations/BOX
//   PUT    /catalogue/recordings/T/renditions/N
//   DELETE /catalogue/recordings/T/renditions/N
//   POST   /catalogue/changes                       a batch; ?confirm=true lets it remove many locations
//   GET    /catalogue/feed?after=R&wait_ms=W        the batches after R; a long poll, for at most 30 s
//   GET    /catalogue/whole                         a full snapshot
//   GET    /catalogue/wanting                       recordings that need copies on more boxes
// Changes take If-Match: "R" and fail with 412 and the current revision if another change came first.
#pragma once

#include "catalogue/demand.h"
#include "catalogue/replica.h"
#include "http/http.h"

namespace violettide::cataloguewire {

struct Reply {
  int status = 200;
  http::Fields fields;
  std::string body;
};
// A poll of the feed: reply with feed_reply() as soon as it has one, else with empty_feed_reply() after
// `wait`.
struct FeedLongPoll {
  catalogue::Revision after = 0;
  Duration wait{0};
};
struct ListReplicationCandidates {};
// What a request asks for; a Reply where it can be answered at once, also with an error. The caller sets the
// request_id of a ChangeRequest.
using CatalogueRequest =
    std::variant<Reply, catalogue::ChangeRequest, FeedLongPoll, ListReplicationCandidates>;

CatalogueRequest read_request(const http::Request& request, const catalogue::Replica& replica);
Reply reply_to(const catalogue::ChangeResult& result);
// The batches after a revision, or status 410 if the log doesn't hold them; absent: there are none yet.
std::optional<Reply> feed_reply(const catalogue::Replica& replica, catalogue::Revision after);
Reply empty_feed_reply(catalogue::Revision current);
Reply replication_candidates_reply(const catalogue::Snapshot& snapshot,
                                   const std::vector<catalogue::ReplicationCandidate>& candidates);

}  // namespace violettide::cataloguewire
