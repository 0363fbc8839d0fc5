#include "Zincstep/Net/CurlTransfer.h"

#include <sys/socket.h>

#include <cstring>

namespace zincstep {

namespace {

/// Runs `curl_global_init` before `main`, since it is not thread-safe.
struct CurlLibrary {
  CurlLibrary() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};
const CurlLibrary kLibrary;

long ToMillis(Micros aDuration) {
  return static_cast<long>((aDuration.count() + 999) / 1000);
}

/// Returns what a transfer's end implies for the effect of the request.
CallEnd CallEndOf(CURLcode aCode, long aRequestBytes) {
  if (aCode == CURLE_OK) {
    return CallEnd::Answered;
  }
  if (aRequestBytes == 0) {
    return CallEnd::NotSent;
  }
  return aCode == CURLE_OPERATION_TIMEDOUT ? CallEnd::TimedOut
                                           : CallEnd::Unknown;
}

/// Sets the option that `Connect` sets, before libcurl connects.
int OnSocket(void*, curl_socket_t aSocket, curlsocktype) {
  const int isOn = 1;
  const int failed =
      ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
  return failed == 0 ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

/// Fails a transfer whose connection is connected to itself, before a request
/// is sent; libcurl closes the connection.
int OnConnected(void*, char* aRemoteAddress, char* aLocalAddress,
                int aRemotePort, int aLocalPort) {
  const bool isSelf = aRemotePort == aLocalPort &&
                      std::strcmp(aRemoteAddress, aLocalAddress) == 0;
  return isSelf ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

}  // namespace

CurlTransfer::CurlTransfer(HttpCall aCall, PartCallback aOnPart)
    : call(std::move(aCall)),
      onPart(std::move(aOnPart)),
      easy(curl_easy_init()) {
  ZINCSTEP_ASSERT(this->easy != nullptr);
  curl_easy_setopt(this->easy, CURLOPT_URL, this->call.url.c_str());
  curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
  curl_easy_setopt(this->easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(this->easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, &CurlTransfer::OnBody);
  curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, &CurlTransfer::OnHeader);
  curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_SOCKOPTFUNCTION, &OnSocket);
  curl_easy_setopt(this->easy, CURLOPT_PREREQFUNCTION, &OnConnected);
  this->SetMethod();
  this->SetLimits();
  // Otherwise libcurl waits 1 s for `100 Continue` before it sends a larger
  // body.
  this->headerList = curl_slist_append(this->headerList, "Expect:");
  for (const HttpHeader& header : this->call.headers) {
    const std::string line = header.name + ": " + header.value;
    this->headerList = curl_slist_append(this->headerList, line.c_str());
  }
  curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->headerList);
}

CurlTransfer::~CurlTransfer() {
  curl_easy_cleanup(this->easy);
  curl_slist_free_all(this->headerList);
}

void CurlTransfer::SetMethod() {
  if (this->call.method == "HEAD") {
    curl_easy_setopt(this->easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (!this->call.body.empty() || this->call.method == "POST") {
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, this->call.body.data());
    curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(this->call.body.size()));
  }
  curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST,
                   this->call.method.c_str());
}

void CurlTransfer::SetLimits() {
  curl_easy_setopt(this->easy, CURLOPT_CONNECTTIMEOUT_MS,
                   ToMillis(this->call.connectTimeout));
  curl_easy_setopt(this->easy, CURLOPT_TIMEOUT_MS,
                   ToMillis(this->call.timeout));
  if (this->call.freshConnection) {
    curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(this->easy, CURLOPT_FORBID_REUSE, 1L);
  }
}

std::size_t CurlTransfer::OnBody(char* aData, std::size_t aSize,
                                 std::size_t aCount, void* aSelf) {
  auto* self = static_cast<CurlTransfer*>(aSelf);
  const std::size_t bytes = aSize * aCount;
  if (self->call.streamed && self->onPart) {
    self->onPart(std::string(aData, bytes));
  } else {
    self->result.body.append(aData, bytes);
  }
  return bytes;
}

std::size_t CurlTransfer::OnHeader(char* aData, std::size_t aSize,
                                   std::size_t aCount, void* aSelf) {
  auto* self = static_cast<CurlTransfer*>(aSelf);
  const std::string_view line(aData, aSize * aCount);
  const std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    const std::size_t start = line.find_first_not_of(' ', colon + 1);
    const std::size_t end = line.find_last_not_of("\r\n");
    const bool isEmpty = start == std::string_view::npos || end < start;
    self->result.headers.push_back(
        {std::string(line.substr(0, colon)),
         isEmpty ? "" : std::string(line.substr(start, end - start + 1))});
  }
  return line.size();
}

HttpCallResult CurlTransfer::Finish(CURLcode aCode) {
  long status = 0;
  long requestBytes = 0;
  curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &requestBytes);
  this->result.status = static_cast<int>(status);
  this->result.end = CallEndOf(aCode, requestBytes);
  if (aCode != CURLE_OK) {
    this->result.fault = curl_easy_strerror(aCode);
  }
  return std::move(this->result);
}

HttpCallResult FetchBlocking(const HttpCall& aCall) {
  CurlTransfer transfer(aCall, nullptr);
  return transfer.Finish(curl_easy_perform(transfer.Handle()));
}

}  // namespace zincstep
