// Traces: length-delimited protobuf records in a zstd stream. A file that was cut off is read as far as it
// goes.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "trace.pb.h"

namespace violettide::trace {

struct Failed {
  std::string what;  // file and cause
};

class Writer {
 public:
  explicit Writer(const std::string& path);  // throws Failed
  ~Writer();                                 // ends the stream
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;
  void put(const Passed& record);
  void flush();  // what was put can be read from now on, whatever becomes of this process

 private:
  class Stream;
  std::unique_ptr<Stream> stream_;
};

struct ReadTrace {
  std::vector<Passed> records;
  bool cut_off = false;
};
ReadTrace read(const std::string& path);  // throws Failed

}  // namespace violettide::trace
