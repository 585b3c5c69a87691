// Which process a server's name and address belong to, for all orders in which the list may tell of a change.
#include "platform/processes/server_processes.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace violettide::platform {
namespace {

const Endpoint first_address{"10.1.0.1", 3868};
const Endpoint second_address{"10.1.0.2", 3868};
constexpr ServerId old_server = 0, new_server = 1, other_server = 2;

ListedServer entry(ServerState state, const Endpoint& endpoint, std::int64_t started_ms = 0) {
  ListedServer listed;
  listed.state = state;
  listed.endpoint = endpoint;
  listed.started_ms = started_ms;
  return listed;
}

class ServerProcessesTest : public ::testing::Test {
 protected:
  std::vector<ProcessEnd> tell(ServerId id, const ListedServer& listed) {
    return processes.apply({false, {listed}}, {id});
  }
  ServerProcesses processes;
};

TEST_F(ServerProcessesTest, KnowsNothingOfAServerThatIsNotListed) {
  EXPECT_EQ(processes.state(other_server), ServerState::gone);
  EXPECT_EQ(processes.endpoint(other_server), nullptr);
  EXPECT_FALSE(processes.has_ready_server());
  EXPECT_FALSE(processes.is_removed(other_server));
  tell(other_server, entry(ServerState::gone, {}));
  EXPECT_TRUE(processes.is_removed(other_server));
}

// The end of the old server and the start of the new one, each told once or again, in each order, in events
// of their own: the address is the new server's, and the old process ended once.
TEST_F(ServerProcessesTest, AnAddressPassesToTheServerThatStartedLater) {
  std::vector<std::pair<ServerId, ListedServer>> told{
      {old_server, entry(ServerState::draining, first_address)},
      {old_server, entry(ServerState::gone, first_address)},
      {new_server, entry(ServerState::ready, first_address, 5000)},
      {new_server, entry(ServerState::ready, first_address, 5000)},
  };
  std::vector<int> order{0, 1, 2, 3};
  do {
    processes = {};
    EXPECT_TRUE(tell(old_server, entry(ServerState::ready, first_address)).empty());
    std::vector<ProcessEnd> ended;
    for (const auto i : order) {
      const auto& [id, listed] = told[static_cast<std::size_t>(i)];
      for (const auto& end : tell(id, listed))
        ended.push_back(end);
    }
    ASSERT_EQ(ended.size(), 1u);
    EXPECT_EQ(ended[0].server, old_server);
    EXPECT_EQ(ended[0].successor, new_server);
    EXPECT_EQ(ended[0].successor_started_ms, 5000);
    EXPECT_EQ(processes.state(old_server), ServerState::gone);
    EXPECT_EQ(processes.endpoint(old_server), nullptr);
    EXPECT_EQ(processes.state(new_server), ServerState::ready);
    EXPECT_EQ(*processes.endpoint(new_server), first_address);
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST_F(ServerProcessesTest, ASnapshotDecidesByTheStartAndNotByTheOrder) {
  for (const bool old_first : {true, false}) {
    for (const bool old_known : {true, false}) {
      for (const bool new_known : {true, false}) {
        processes = {};
        const auto old_entry = entry(ServerState::ready, first_address);
        const auto new_entry = entry(ServerState::ready, first_address, 5000);
        if (old_known)
          tell(old_server, old_entry);
        if (new_known)
          tell(new_server, new_entry);
        const auto ended = old_first
                               ? processes.apply({true, {old_entry, new_entry}}, {old_server, new_server})
                               : processes.apply({true, {new_entry, old_entry}}, {new_server, old_server});
        EXPECT_TRUE(std::none_of(ended.begin(), ended.end(),
                                 [](const auto& end) { return end.server == new_server; }));
        EXPECT_EQ(processes.state(old_server), ServerState::gone);
        EXPECT_EQ(*processes.endpoint(new_server), first_address);
      }
    }
  }
}

TEST_F(ServerProcessesTest, ANewServerWithoutAStartTakesTheAddressOnceItIsTold) {
  tell(old_server, entry(ServerState::ready, first_address));
  const auto ended = tell(new_server, entry(ServerState::ready, first_address));
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_FALSE(ended[0].successor_started_ms) << "no connection is known to lead to it";
  EXPECT_TRUE(tell(old_server, entry(ServerState::ready, first_address)).empty()) << "a repeated entry";
  EXPECT_EQ(processes.state(old_server), ServerState::gone);
}

TEST_F(ServerProcessesTest, AStartUnderTheSameNameEndsTheProcessBefore) {
  tell(old_server, entry(ServerState::ready, first_address));
  EXPECT_TRUE(tell(old_server, entry(ServerState::ready, first_address)).empty());
  const auto first = tell(old_server, entry(ServerState::ready, first_address, 5000));
  ASSERT_EQ(first.size(), 1u) << "also if no start was told before";
  EXPECT_EQ(first[0].successor, old_server);
  EXPECT_EQ(first[0].successor_started_ms, 5000);
  EXPECT_TRUE(tell(old_server, entry(ServerState::ready, first_address, 5000)).empty());
  EXPECT_TRUE(tell(old_server, entry(ServerState::ready, second_address, 4000)).empty()) << "a delayed list";
  EXPECT_EQ(*processes.endpoint(old_server), first_address);
  EXPECT_EQ(tell(old_server, entry(ServerState::ready, first_address, 6000)).size(), 1u);
}

// A start that comes with the first entry of a name is that of the process that it names.
TEST_F(ServerProcessesTest, TheFirstEntryOfANameEndsNothing) {
  EXPECT_TRUE(tell(old_server, entry(ServerState::ready, first_address, 5000)).empty());
}

TEST_F(ServerProcessesTest, AnotherAddressIsAnotherProcess) {
  tell(old_server, entry(ServerState::ready, first_address));
  const auto moved = tell(old_server, entry(ServerState::ready, second_address));
  ASSERT_EQ(moved.size(), 1u);
  EXPECT_FALSE(moved[0].successor_started_ms) << "connections to the old address do not lead to it";
  EXPECT_EQ(tell(old_server, entry(ServerState::ready, second_address, 5000)).size(), 1u)
      << "its start is told later";
  EXPECT_EQ(*processes.endpoint(old_server), second_address);
  EXPECT_TRUE(tell(new_server, entry(ServerState::ready, first_address, 6000)).empty())
      << "the address it left is free";
}

TEST_F(ServerProcessesTest, AServerThatIsGoneKeepsItsAddressUntilItIsTaken) {
  tell(old_server, entry(ServerState::ready, first_address));
  tell(old_server, entry(ServerState::gone, {}));
  EXPECT_EQ(*processes.endpoint(old_server), first_address);
  EXPECT_EQ(tell(new_server, entry(ServerState::ready, first_address, 5000)).size(), 1u);
  EXPECT_TRUE(tell(other_server, entry(ServerState::gone, first_address)).empty());
  EXPECT_EQ(processes.endpoint(other_server), nullptr) << "it leads to another server";
}

TEST_F(ServerProcessesTest, ServersThatASnapshotLeavesOutAreGone) {
  tell(old_server, entry(ServerState::ready, first_address));
  tell(new_server, entry(ServerState::ready, second_address));
  EXPECT_TRUE(processes.apply({true, {entry(ServerState::ready, second_address)}}, {new_server}).empty());
  EXPECT_EQ(processes.state(old_server), ServerState::gone);
  EXPECT_TRUE(processes.has_ready_server());
  processes.apply({true, {}}, {});
  EXPECT_FALSE(processes.has_ready_server());
}

}  // namespace
}  // namespace violettide::platform
