#pragma once

#include <curl/curl.h>

#include <functional>
#include <memory>

#include "Zincstep/Net/HttpClient.h"

namespace zincstep {

/// One call on an easy handle of libcurl.
class CurlTransfer {
 public:
  /// Receives the parts of a streamed body.
  using PartCallback = std::function<void(std::string)>;

  CurlTransfer(HttpCall aCall, PartCallback aOnPart);
  ~CurlTransfer();

  CurlTransfer(const CurlTransfer&) = delete;
  CurlTransfer& operator=(const CurlTransfer&) = delete;

  CURL* Handle() const { return this->easy; }

  /// Returns the result; call once, after libcurl ended the transfer with
  /// `aCode`.
  HttpCallResult Finish(CURLcode aCode);

 private:
  void SetMethod();
  void SetLimits();
  static std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount,
                            void* aSelf);
  static std::size_t OnHeader(char* aData, std::size_t aSize,
                              std::size_t aCount, void* aSelf);

  HttpCall call;
  PartCallback onPart;
  CURL* easy = nullptr;
  curl_slist* headerList = nullptr;
  HttpCallResult result;
};

}  // namespace zincstep
