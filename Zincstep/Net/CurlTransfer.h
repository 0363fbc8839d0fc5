#pragma once

#include <curl/curl.h>

#include <functional>
#include <memory>

#include "Zincstep/Net/HttpClient.h"
#include "Zincstep/Net/HttpParser.h"

namespace zincstep {

/// One call on an easy handle of libcurl.
///
/// libcurl connects, sends, reads and reuses connections; what it reads is
/// passed with its chunks to `HttpParser`, which alone determines whether the
/// response is complete. libcurl 7.88 also reports success if the connection
/// closes within the head or before the last byte of the last chunk, takes one
/// of two different lengths, and ignores a length that it cannot represent.
class CurlTransfer final : private HttpParserListener {
 public:
  /// Receives the parts of a streamed body; returns false to reject one.
  using PartCallback = std::function<bool(std::string)>;

  /// Buffers a body that is not streamed within `aBudget`.
  CurlTransfer(HttpCall aCall, PartCallback aOnPart,
               std::shared_ptr<ByteBudget> aBudget = DefaultResponseBudget());
  ~CurlTransfer() override;

  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  CURL* Handle() const { return this->easy; }

  /// Returns the result; call once, after libcurl ended the transfer with
  /// `aCode`.
  HttpCallResult Finish(CURLcode aCode);

 private:
  void SetMethod();
  void SetLimits();
  static std::size_t OnBodyBytes(char* aData, std::size_t aSize,
                                 std::size_t aCount, void* aSelf);
  static std::size_t OnHeadLine(char* aData, std::size_t aSize,
                                std::size_t aCount, void* aSelf);
  /// Parses bytes; returns false if they are not a valid response or exceed a
  /// bound.
  bool Parse(std::string_view aBytes);
  /// Returns whether the response is complete; records the reason if not.
  bool HasResponse(CURLcode aCode);
  bool HasSentBody() const;
  void OnHead(HttpHead aHead) override;
  void OnBody(std::string_view aPart) override;
  void OnMessageEnd() override {}

  HttpCall call;
  PartCallback onPart;
  BodyBuffer body;
  CURL* easy = nullptr;
  curl_slist* headerList = nullptr;
  HttpParser parser{HttpSide::Response, *this};
  HttpCallResult result;
};

}  // namespace zincstep
