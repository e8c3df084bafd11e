// Class OptionHandler implements the server side of option haggling: the part of the handshake in which a
// client lists exports, negotiates the form of replies and chooses an export. Owned by a ServerSession and
// used on its thread.
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
  // The next step of the session after an option.
  enum class Next {
    kOption,         // the client sends another option
    kTransmission,   // the client sends commands; chosen() is set
    kAborted,        // the session ends because the client has sent NBD_OPT_ABORT
    kUnknownExport,  // the session ends because NBD_OPT_EXPORT_NAME has no error reply
  };

  // `exports` must outlive the handler.
  explicit OptionHandler(const std::vector<Export>& exports) : exports_(exports) {}

  // Omits the zeroes after the reply to NBD_OPT_EXPORT_NAME, if the client has negotiated NBD_FLAG_NO_ZEROES.
  void OmitZeroes() { zeroes_ = false; }

  // Processes an option and its data, and appends the replies to `out`.
  Next Handle(std::uint32_t option, std::string_view data, std::string* out);

  // Returns the export that the client has chosen; null until then.
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
