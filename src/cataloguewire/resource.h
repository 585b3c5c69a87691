// The catalogue as an HTTP resource: what a request asks, and what an answer says. Pure.
//   GET    /catalogue                               sums; the revision as ETag
//   GET    /catalogue/recordings/T                  one recording
//   PUT    /catalogue/recordings/T                  whole, the title in the path
//   DELETE /catalogue/recordings/T
//   PUT    /catalogue/recordings/T/locations/BOX    (a body may give state and since_ms)
//   DELETE /catalogue/recordings/T/locations/BOX
//   PUT    /catalogue/recordings/T/renditions/N     DELETE likewise
//   POST   /catalogue/changes                       a batch; ?confirm=true takes a shrink
//   GET    /catalogue/feed?after=R&wait_ms=W        batches after R, at once or when there are some
//   GET    /catalogue/whole                         everything
//   GET    /catalogue/wanting                       recordings in want of copies
// Changes take If-Match: "R" and get 412 with the present revision when another came first.
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
struct FeedWait {  // nothing yet: answer when a batch after it comes, or when the time is up
  catalogue::Revision after = 0;
  Duration wait{0};
};
struct AskWanting {};
using Meaning = std::variant<Reply, catalogue::Asked, FeedWait, AskWanting>;

Meaning read_request(const http::Request& request, const catalogue::Keeper& keeper);
Reply reply_to(const catalogue::Answer& answer);
// What a feed gets now; absent: nothing to tell yet.
std::optional<Reply> feed_reply(const catalogue::Keeper& keeper, catalogue::Revision after);
Reply empty_feed(catalogue::Revision present);
Reply wanting_reply(const catalogue::Snapshot& snapshot, const std::vector<catalogue::Wanted>& wanting);

}  // namespace violettide::cataloguewire
