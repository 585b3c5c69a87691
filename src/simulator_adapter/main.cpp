// Runs session managers for the simulator: reads its line protocol from standard input and writes the replies
// to standard output. Exits with 2 when a line is malformed or the input ends within a batch.
#include <iostream>
#include <string>

#include "simulator_adapter/adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  violettide::simulator_adapter::Adapter adapter;
  std::string line;
  try {
    while (std::getline(std::cin, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      if (const auto reply = adapter.handle_line(line))
        std::cout << *reply << std::flush;
    }
  } catch (const std::exception& error) {
    std::cerr << "violettide_benchlink: " << error.what() << '\n';
    return 2;
  }
  if (adapter.in_batch()) {
    std::cerr << "violettide_benchlink: input ended within a batch: expected YOUR_TURN\n";
    return 2;
  }
  return 0;
}
