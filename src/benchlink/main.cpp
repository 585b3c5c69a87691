// Plays the decision module on the bench's wire: standard input to standard output.
#include <iostream>
#include <string>

#include "benchlink/link.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  violettide::benchlink::Link link;
  std::string line;
  try {
    while (std::getline(std::cin, line)) {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      if (const auto reply = link.take(line))
        std::cout << *reply << std::flush;
    }
  } catch (const std::exception& error) {
    std::cerr << "violettide_benchlink: " << error.what() << '\n';
    return 2;
  }
  if (link.inside_batch()) {
    std::cerr << "violettide_benchlink: input ended inside a batch: expected YOUR_TURN\n";
    return 2;
  }
  return 0;
}
