// Tests what `serve` does before it listens. Its port is already in use, so that each run fails and returns.
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
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    ASSERT_EQ(::bind(socket_, reinterpret_cast<const sockaddr*>(&address), size), 0);
    ASSERT_EQ(::listen(socket_, 1), 0);
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
    options.settings_file = SETTINGS;
    options.port = ntohs(address.sin_port);
    options.log_file =
        (std::filesystem::path(::testing::TempDir()) / ("serve-" + std::to_string(::getpid()) + ".log"))
            .string();
  }
  void TearDown() override {
    ::close(socket_);
    std::filesystem::remove(options.log_file);
  }
  // Runs `serve` and returns the seed in its log; empty if there is none.
  std::string seed() {
    std::filesystem::remove(options.log_file);
    EXPECT_EQ(run_serve(options), 2) << "the port is in use";
    std::ifstream log(options.log_file);
    for (std::string line; std::getline(log, line);) {
      const auto entry = nlohmann::json::parse(line);
      if (entry["event"] == "seeded")
        return entry["seed"];
    }
    return "";
  }
  ServeOptions options;

 private:
  int socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
};

// Guards against managers that start with the same options drawing the same seed.
TEST_F(Serve, DrawsADifferentSeedInEachRunUnlessOneIsGiven) {
  const auto first = seed(), second = seed();
  EXPECT_FALSE(first.empty());
  EXPECT_NE(first, second);
  options.seed = 7;
  EXPECT_EQ(seed(), "7");
}

// Guards against an index outside the range of the managers being accepted.
TEST_F(Serve, RejectsAnIndexOutsideTheManagerCount) {
  options.front_count = 3;
  for (const int number : {-1, 3}) {
    options.front_index = number;
    ::testing::internal::CaptureStderr();
    EXPECT_EQ(run_serve(options), 2);
    const auto error_output = ::testing::internal::GetCapturedStderr();
    EXPECT_NE(error_output.find("--number " + std::to_string(number) + ": expected 0 to 2"),
              std::string::npos)
        << error_output;
  }
}

}  // namespace
}  // namespace violettide::cli
