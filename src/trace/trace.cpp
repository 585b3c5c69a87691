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
constexpr std::size_t batch = 64 * 1024;
struct CloseFile {
  void operator()(std::FILE* file) const { std::fclose(file); }
};
using File = std::unique_ptr<std::FILE, CloseFile>;
File opened(const std::string& path, const char* mode) {
  File file(std::fopen(path.c_str(), mode));
  if (!file)
    throw Failed{path + ": " + std::strerror(errno)};
  return file;
}
}  // namespace

class Writer::Stream {
 public:
  explicit Stream(const std::string& path)
      : file_(opened(path, "wb")), context_(ZSTD_createCCtx(), ZSTD_freeCCtx) {}
  ~Stream() { compress(ZSTD_e_end); }
  void put(const Passed& record) {
    google::protobuf::io::StringOutputStream out(&pending_);
    google::protobuf::util::SerializeDelimitedToZeroCopyStream(record, &out);
    // The stream gives back what it did not use when it ends.
  }
  void compress(ZSTD_EndDirective how) {
    ZSTD_inBuffer in{pending_.data(), pending_.size(), 0};
    char space[batch];
    std::size_t left = 1;
    while (left > 0 || in.pos < in.size) {
      ZSTD_outBuffer out{space, sizeof space, 0};
      left = ZSTD_compressStream2(context_.get(), &out, &in, how);
      if (ZSTD_isError(left))
        break;
      std::fwrite(space, 1, out.pos, file_.get());
      if (how == ZSTD_e_continue && in.pos == in.size)
        break;
    }
    pending_.clear();
    std::fflush(file_.get());
  }
  bool full() const { return pending_.size() >= batch; }

 private:
  File file_;
  std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context_;
  std::string pending_;
};

Writer::Writer(const std::string& path) : stream_(std::make_unique<Stream>(path)) {}
Writer::~Writer() = default;
void Writer::put(const Passed& record) {
  stream_->put(record);
  if (stream_->full())
    stream_->compress(ZSTD_e_continue);
}
void Writer::flush() { stream_->compress(ZSTD_e_flush); }

ReadTrace read(const std::string& path) {
  const auto file = opened(path, "rb");
  std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(), ZSTD_freeDCtx);
  std::string plain;
  std::vector<char> coded(batch), space(batch);
  ReadTrace trace;
  std::size_t left = 0;
  while (const auto count = std::fread(coded.data(), 1, coded.size(), file.get())) {
    ZSTD_inBuffer in{coded.data(), count, 0};
    while (in.pos < in.size) {
      ZSTD_outBuffer out{space.data(), space.size(), 0};
      left = ZSTD_decompressStream(context.get(), &out, &in);
      if (ZSTD_isError(left))
        throw Failed{path + ": " + ZSTD_getErrorName(left)};
      plain.append(space.data(), out.pos);
    }
  }
  trace.cut_off = left != 0;
  google::protobuf::io::ArrayInputStream in(plain.data(), static_cast<int>(plain.size()));
  bool clean_end = false;
  for (Passed record; google::protobuf::util::ParseDelimitedFromZeroCopyStream(&record, &in, &clean_end);
       record.Clear())
    trace.records.push_back(record);
  trace.cut_off = trace.cut_off || !clean_end;
  return trace;
}

}  // namespace violettide::trace
