// The damage ledger: which blocks are damaged, since when and by whose fault. Bounded; kept in a folder where
// one is configured, whole or not at all, and in memory otherwise.
//
// `Ledger` is state alone. `LedgerFile` puts it into a file: a new one is written beside the old, synced and
// renamed.
#ifndef WALNUTSPUR_INTEGRITY_LEDGER_H_
#define WALNUTSPUR_INTEGRITY_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "integrity/blame.h"

namespace walnutspur::integrity {

struct Entry {
  Fault fault = Fault::kRest;
  bool mended = false;           // written anew since, or found good
  std::int64_t first = 0;        // when it was found, microseconds of Unix time
  std::int64_t last = 0;         // and when it was seen last
  std::uint32_t times = 0;       // verdicts
  int path = -1;                 // kPath: the path to blame
  std::uint64_t belongs_to = 0;  // kAstray
  bool operator==(const Entry&) const = default;
};

class Ledger {
 public:
  explicit Ledger(std::size_t most = 65536) : most_(most) {}

  // A verdict on a block. Of a write that went astray both ends show: the block that holds what is another's,
  // and that other block, which looks as if its write was lost; once both are known both are astray.
  void Note(const Place& place, const Verdict& verdict, std::int64_t now);
  // The block was found good, or written anew.
  void Mend(const Place& place, std::int64_t now);

  const Entry* Find(const Place& place) const;
  // Damaged at rest and not mended: not worth reading again for anybody but the scrubber.
  bool IsBad(const Place& place) const;
  const std::map<Place, Entry>& entries() const { return entries_; }
  std::size_t bad() const;                            // entries that are not mended
  std::uint64_t dropped() const { return dropped_; }  // entries lost to the bound
  bool changed() const { return changed_; }           // since it was last encoded

  // The ledger as bytes, versioned and checksummed.
  std::string Encode();
  // Takes over what `Encode` gave. False, and nothing changes, if that is cut off, damaged or newer; `what`
  // is then one line.
  bool Decode(std::string_view bytes, std::string* what);

 private:
  void MakeRoom();

  std::size_t most_;
  std::map<Place, Entry> entries_;
  std::uint64_t dropped_ = 0;
  bool changed_ = false;
};

// `folder`/damage.ledger. All of it may block: it is for a thread that may, or for the command line.
class LedgerFile {
 public:
  explicit LedgerFile(std::string folder) : folder_(std::move(folder)) {}

  enum class Found { kNone, kRead, kRefused };
  // A file that is refused is left as it is, and a later Save moves it aside instead of over it.
  Found Load(Ledger* ledger, std::string* what);
  // Of what Ledger::Encode gave. False, with one line, if it could not be made to last; the old file then
  // still stands.
  bool Write(const std::string& bytes, std::string* what);
  bool Save(Ledger& ledger, std::string* what) { return Write(ledger.Encode(), what); }
  std::string path() const { return folder_ + "/" + kName; }

 private:
  static constexpr const char* kName = "damage.ledger";
  std::string folder_;
  bool refused_ = false;
};

}  // namespace walnutspur::integrity

#endif  // WALNUTSPUR_INTEGRITY_LEDGER_H_
