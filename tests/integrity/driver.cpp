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
    if (io.kind == IoKind::kFlush) disk_.Flush();
    if (io.kind == IoKind::kWrite) disk_.Write(io.offset, io.data, io.fua);
  }
}

void Driver::Start() {
  volume_ = std::make_unique<Volume>(options_);
  volume_->Attach();
  Take();
}

void Driver::Take() {
  for (IoRequest& io : volume_->TakeIoRequests()) {
    if (io.kind == IoKind::kFlush) marks_[io.id] = disk_.Mark();
    waiting_.push_back(std::move(io));
  }
  for (CommandResult& result : volume_->TakeResults()) {
    if (on_result) on_result(result);
    results[result.id] = std::move(result);
  }
}

bool Driver::Step() {
  Take();
  if (waiting_.empty()) return false;
  // Any order is legal.
  const std::size_t index = disk_.Draw(waiting_.size());
  const IoRequest io = std::move(waiting_[index]);
  waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(index));
  std::string data;
  IoStatus end = IoStatus::kCompleted;
  bool ran = true;
  if (on_io) end = on_io(io, &data, &ran);
  if (ran) {
    if (io.kind == IoKind::kRead && data.empty()) data = disk_.Read(io.offset, io.length);
    if (io.kind == IoKind::kWrite) disk_.Write(io.offset, io.AllBytes(), io.fua);
    if (io.kind == IoKind::kFlush) disk_.Flush(marks_.at(io.id));
  }
  marks_.erase(io.id);
  volume_->OnIoCompleted(io.id, end, end == IoStatus::kCompleted ? std::move(data) : "");
  Take();
  return true;
}

void Driver::Settle() {
  while (Step()) {
  }
}

void Driver::Kill(bool power) {
  Take();
  for (const IoRequest& io : waiting_) {
    if (io.kind != IoKind::kWrite) continue;
    const auto fate = disk_.Draw(3);  // lost, carried out, or cut off
    if (fate == 1) disk_.Write(io.offset, io.AllBytes(), false);
    if (fate == 2 && power) disk_.CrashInside(io.offset, io.AllBytes());
  }
  waiting_.clear();
  marks_.clear();
  if (power) disk_.Crash();
  volume_.reset();
}

CommandId Driver::Submit(Command::Kind kind, std::uint64_t offset, std::uint32_t length, std::string data,
                         bool fua) {
  Command command;
  command.id = next_++;
  command.kind = kind;
  command.offset = offset;
  command.length = length;
  if (kind == Command::Kind::kWrite) command.data = Own(std::move(data));
  command.fua = fua;
  volume_->Submit(command);
  Take();
  return command.id;
}

CommandResult Driver::Do(Command::Kind kind, std::uint64_t offset, std::uint32_t length, std::string data,
                         bool fua) {
  const CommandId id = Submit(kind, offset, length, std::move(data), fua);
  Settle();
  return results.at(id);
}

}  // namespace walnutspur::test
