// Trace files: length-delimited protobuf records in a zstd stream. A truncated file is read up to its last
// complete record.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "trace.pb.h"

namespace violettide::trace {

// A trace file can't be opened, or is not a zstd stream.
struct TraceError {
  std::string message;  // the file and the cause
};

// Writes a trace file; an existing file is overwritten.
class Writer {
 public:
  explicit Writer(const std::string& path);  // throws TraceError
  ~Writer();                                 // ends the stream
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;
  // Records are compressed in batches, so one appended is not readable before a flush or the end.
  void append(const Passed& record);
  // Makes the records appended so far readable, even if the process is killed afterwards.
  void flush();

 private:
  class Stream;
  std::unique_ptr<Stream> stream_;
};

// What a trace file holds.
struct TraceContents {
  std::vector<Passed> records;
  bool truncated = false;  // the stream or its last record is incomplete
};
// Reads a whole trace file into memory.
TraceContents read(const std::string& path);  // throws TraceError

}  // namespace violettide::trace
