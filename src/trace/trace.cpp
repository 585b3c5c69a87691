// Trace files on zstd and the delimited protobuf utilities.
#include "trace/trace.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/util/delimited_message_util.h>
#include <zstd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

namespace violettide::trace {

namespace {
constexpr std::size_t buffer_bytes = 64 * 1024;
struct CloseFile {
  void operator()(std::FILE* file) const { std::fclose(file); }
};
using File = std::unique_ptr<std::FILE, CloseFile>;
File open_file(const std::string& path, const char* mode) {
  File file(std::fopen(path.c_str(), mode));
  if (!file)
    throw TraceError{path + ": " + std::strerror(errno)};
  return file;
}
}  // namespace

// The compressed stream and the serialized records that are not compressed yet. Write errors are not
// reported.
class Writer::Stream {
 public:
  explicit Stream(const std::string& path)
      : file_(open_file(path, "wb")), context_(ZSTD_createCCtx(), ZSTD_freeCCtx) {}
  ~Stream() { compress(ZSTD_e_end); }
  void append(const Passed& record) {
    google::protobuf::io::StringOutputStream out(&pending_);
    google::protobuf::util::SerializeDelimitedToZeroCopyStream(record, &out);
    // The destructor of `out` trims the unused space that it reserved in `pending_`.
  }
  // Compresses and writes all pending records; `directive` says whether to flush or end the zstd stream as
  // well.
  void compress(ZSTD_EndDirective directive) {
    ZSTD_inBuffer in{pending_.data(), pending_.size(), 0};
    char output[buffer_bytes];
    std::size_t remaining = 1;
    while (remaining > 0 || in.pos < in.size) {
      ZSTD_outBuffer out{output, sizeof output, 0};
      remaining = ZSTD_compressStream2(context_.get(), &out, &in, directive);
      if (ZSTD_isError(remaining))
        break;
      std::fwrite(output, 1, out.pos, file_.get());
      if (directive == ZSTD_e_continue && in.pos == in.size)
        break;
    }
    pending_.clear();
    std::fflush(file_.get());
  }
  bool buffer_full() const { return pending_.size() >= buffer_bytes; }

 private:
  File file_;
  std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context_;
  std::string pending_;
};

Writer::Writer(const std::string& path) : stream_(std::make_unique<Stream>(path)) {}
Writer::~Writer() = default;
void Writer::append(const Passed& record) {
  stream_->append(record);
  if (stream_->buffer_full())
    stream_->compress(ZSTD_e_continue);
}
void Writer::flush() { stream_->compress(ZSTD_e_flush); }

TraceContents read(const std::string& path) {
  const auto file = open_file(path, "rb");
  std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(), ZSTD_freeDCtx);
  std::string decompressed;
  std::vector<char> compressed(buffer_bytes), output(buffer_bytes);
  TraceContents trace;
  std::size_t remaining = 0;
  while (const auto count = std::fread(compressed.data(), 1, compressed.size(), file.get())) {
    ZSTD_inBuffer in{compressed.data(), count, 0};
    while (in.pos < in.size) {
      ZSTD_outBuffer out{output.data(), output.size(), 0};
      remaining = ZSTD_decompressStream(context.get(), &out, &in);
      if (ZSTD_isError(remaining))
        throw TraceError{path + ": " + ZSTD_getErrorName(remaining)};
      decompressed.append(output.data(), out.pos);
    }
  }
  trace.truncated = remaining != 0;
  google::protobuf::io::ArrayInputStream input(decompressed.data(), static_cast<int>(decompressed.size()));
  bool clean_end = false;
  for (Passed record; google::protobuf::util::ParseDelimitedFromZeroCopyStream(&record, &input, &clean_end);
       record.Clear())
    trace.records.push_back(record);
  trace.truncated = trace.truncated || !clean_end;
  return trace;
}

}  // namespace violettide::trace
