// What `serve` does before it listens. The port it is given is taken, so that each run ends by itself.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "cli/commands.h"

namespace violettide::cli {
namespace {

class Serve : public ::testing::Test {
 protected:
  void SetUp() override {
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof place;
    ASSERT_EQ(::bind(socket_, reinterpret_cast<const sockaddr*>(&place), size), 0);
    ASSERT_EQ(::listen(socket_, 1), 0);
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&place), &size);
    words.settings = SETTINGS;
    words.port = ntohs(place.sin_port);
    words.log =
        (std::filesystem::path(::testing::TempDir()) / ("serve-" + std::to_string(::getpid()) + ".log"))
            .string();
  }
  void TearDown() override {
    ::close(socket_);
    std::filesystem::remove(words.log);
  }
  // The seed that the log names; empty: none.
  std::string seed() {
    std::filesystem::remove(words.log);
    EXPECT_EQ(run_serve(words), 2) << "its port is taken";
    std::ifstream log(words.log);
    for (std::string line; std::getline(log, line);) {
      const auto said = nlohmann::json::parse(line);
      if (said["event"] == "seeded")
        return said["seed"];
    }
    return "";
  }
  ServeWords words;

 private:
  int socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
};

TEST_F(Serve, StartedAlikeTwoDrawApartUnlessTold) {
  const auto one = seed(), other = seed();
  EXPECT_FALSE(one.empty());
  EXPECT_NE(one, other);
  words.seed = 7;
  EXPECT_EQ(seed(), "7");
}

TEST_F(Serve, ANumberThatNoFrontHasIsRefused) {
  words.fronts = 3;
  for (const int number : {-1, 3}) {
    words.number = number;
    ::testing::internal::CaptureStderr();
    EXPECT_EQ(run_serve(words), 2);
    const auto told = ::testing::internal::GetCapturedStderr();
    EXPECT_NE(told.find("--number " + std::to_string(number) + ": expected 0 to 2"), std::string::npos)
        << told;
  }
}

}  // namespace
}  // namespace violettide::cli
