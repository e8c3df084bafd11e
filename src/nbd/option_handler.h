// The server's side of option haggling: the part of the handshake in which a client lists exports, negotiates
// the form of replies and chooses an export. Belongs to a ServerSession, on its thread.
#ifndef WALNUTSPUR_NBD_OPTION_HANDLER_H_
#define WALNUTSPUR_NBD_OPTION_HANDLER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "nbd/protocol.h"
#include "nbd/reply_encoder.h"

namespace walnutspur::nbd {

class OptionHandler {
 public:
  // What comes after an option.
  enum class Next {
    kOption,         // another option
    kTransmission,   // commands: chosen() is set
    kAborted,        // the session ends: the client has sent NBD_OPT_ABORT
    kUnknownExport,  // the session ends: NBD_OPT_EXPORT_NAME has no reply for an error
  };

  // `exports` must outlive the handler.
  explicit OptionHandler(const std::vector<Export>& exports) : exports_(exports) {}

  // The client has waived the zeroes behind the reply to NBD_OPT_EXPORT_NAME.
  void OmitZeroes() { zeroes_ = false; }

  // Processes an option with its data and appends the replies to `out`.
  Next Handle(std::uint32_t option, std::string_view data, std::string* out);

  // The export for transmission; null until it is chosen.
  const Export* chosen() const { return chosen_; }
  ReplyForm reply_form() const { return reply_form_; }

 private:
  Next HandleExportName(std::string_view name, std::string* out);
  void HandleList(std::string_view data, std::string* out) const;
  void HandleStructuredReply(std::string_view data, std::string* out);
  Next HandleInfoOrGo(std::uint32_t option, std::string_view data, std::string* out);
  const Export* Find(std::string_view name) const;

  const std::vector<Export>& exports_;
  const Export* chosen_ = nullptr;
  bool zeroes_ = true;
  ReplyForm reply_form_ = ReplyForm::kSimple;
};

}  // namespace walnutspur::nbd

#endif  // WALNUTSPUR_NBD_OPTION_HANDLER_H_
