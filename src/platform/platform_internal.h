// Limits and helpers that several source files of the platform's session manager use; none but these include
// it.
#pragma once

#include "platform/platform.h"

namespace violettide::platform {

// A longer delay of timers means that this process was stalled.
inline constexpr Duration stall_threshold = std::chrono::milliseconds(60);
inline constexpr Duration sweep_interval = std::chrono::milliseconds(100);
inline constexpr std::size_t max_queued_messages = 4096;

inline std::int64_t to_milliseconds(Duration span) { return span.count() / 1000; }

}  // namespace violettide::platform
