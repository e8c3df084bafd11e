#include "driver.h"

#include <utility>

namespace walnutspur::test {

using namespace integrity;

Driver::Driver(std::uint64_t size, std::uint64_t seed, VolumeOptions options)
    : disk_(size, seed), options_(options) {
  options_.size = size;
}

void Driver::Format(std::uint64_t journal) {
  for (const IoRequest& io : FormatPlan(disk_.size(), journal, 0x5eed5eed)) {
    if (io.kind == IoKind::kFlush) {
      disk_.Flush();
    }
    if (io.kind == IoKind::kWrite) {
      disk_.Write(io.offset, io.data, io.fua);
    }
  }
}

void Driver::Start() {
  volume_ = std::make_unique<Volume>(options_);
  volume_->Attach();
  CollectRequests();
}

void Driver::CollectRequests() {
  for (IoRequest& io : volume_->TakeIoRequests()) {
    if (io.kind == IoKind::kFlush) {
      flush_marks_[io.id] = disk_.Mark();
    }
    pending_.push_back(std::move(io));
  }
  for (CommandResult& result : volume_->TakeResults()) {
    if (on_result) {
      on_result(result);
    }
    results[result.id] = std::move(result);
  }
}

bool Driver::Step() {
  CollectRequests();
  if (pending_.empty()) {
    return false;
  }
  // Storage requests may complete in any order.
  const std::size_t index = disk_.Draw(pending_.size());
  const IoRequest io = std::move(pending_[index]);
  pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
  std::string data;
  IoStatus end = IoStatus::kCompleted;
  bool executed = true;
  if (on_io) {
    end = on_io(io, &data, &executed);
  }
  if (executed) {
    if (io.kind == IoKind::kRead && data.empty()) {
      data = disk_.Read(io.offset, io.length);
    }
    if (io.kind == IoKind::kWrite) {
      disk_.Write(io.offset, io.AllBytes(), io.fua);
    }
    if (io.kind == IoKind::kFlush) {
      disk_.Flush(flush_marks_.at(io.id));
    }
  }
  flush_marks_.erase(io.id);
  volume_->OnIoCompleted(io.id, end, end == IoStatus::kCompleted ? std::move(data) : "");
  CollectRequests();
  return true;
}

void Driver::Settle() {
  while (Step()) {
  }
}

void Driver::Kill(bool power) {
  CollectRequests();
  for (const IoRequest& io : pending_) {
    if (io.kind != IoKind::kWrite) {
      continue;
    }
    const auto fate = disk_.Draw(3);  // 0: lost, 1: executed, 2: torn
    if (fate == 1) {
      disk_.Write(io.offset, io.AllBytes(), false);
    }
    if (fate == 2 && power) {
      disk_.CrashInside(io.offset, io.AllBytes());
    }
  }
  pending_.clear();
  flush_marks_.clear();
  if (power) {
    disk_.Crash();
  }
  volume_.reset();
}

CommandId Driver::Submit(Command::Kind kind, std::uint64_t offset, std::uint32_t length, std::string data,
                         bool fua) {
  Command command;
  command.id = next_command_++;
  command.kind = kind;
  command.offset = offset;
  command.length = length;
  if (kind == Command::Kind::kWrite) {
    command.data = Own(std::move(data));
  }
  command.fua = fua;
  volume_->Submit(command);
  CollectRequests();
  return command.id;
}

CommandResult Driver::Do(Command::Kind kind, std::uint64_t offset, std::uint32_t length, std::string data,
                         bool fua) {
  const CommandId id = Submit(kind, offset, length, std::move(data), fua);
  Settle();
  return results.at(id);
}

}  // namespace walnutspur::test
