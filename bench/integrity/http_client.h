// Class HttpClient is a client of the initiator's HTTP interface that waits for each response. It owns its
// socket; one thread at a time may use it.
#ifndef WALNUTSPUR_BENCH_INTEGRITY_HTTP_CLIENT_H_
#define WALNUTSPUR_BENCH_INTEGRITY_HTTP_CLIENT_H_

#include <cstdint>
#include <string>

#include "core/scheduler_thread.h"

namespace walnutspur::bench {

struct HttpResponse {
  int code = 0;
  std::string body;
};

// Returns the path of an object.
std::string ObjectPath(std::uint64_t key);

class HttpClient {
 public:
  // Connects to a port of 127.0.0.1. Throws BenchError if the connection fails, as each request does if it is
  // closed.
  explicit HttpClient(int port);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  HttpResponse Get(std::uint64_t key) { return Request(false, key, ""); }
  HttpResponse Put(std::uint64_t key, const std::string& body) { return Request(true, key, body); }
  // Repeats the write until it is accepted. Returns false if it fails.
  bool PutWithRetry(std::uint64_t key, const std::string& body);

 private:
  HttpResponse Request(bool is_put, std::uint64_t key, const std::string& body);
  void SendAll(const std::string& text) const;
  HttpResponse Receive() const;

  int fd_ = -1;
  std::uint64_t id_ = core::Now() & 0xffffffffff;  // of the last request; differs between runs
};

}  // namespace walnutspur::bench

#endif  // WALNUTSPUR_BENCH_INTEGRITY_HTTP_CLIENT_H_
