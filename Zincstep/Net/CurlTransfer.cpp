#include "Zincstep/Net/CurlTransfer.h"

#include <sys/socket.h>

#include <cstring>

namespace zincstep {

namespace {

/// Maximum of the incomplete bodies of calls that share the default budget, in
/// bytes: an eighth of the memory of a daemon's VM, as a buffer may hold twice
/// its size while it grows, and is copied once.
constexpr std::size_t kDefaultBudgetBytes = 32 << 20;

/// Runs `curl_global_init` before `main`, since it is not thread-safe.
struct CurlLibrary {
  CurlLibrary() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};
const CurlLibrary kLibrary;

long ToMillis(Micros aDuration) {
  return static_cast<long>((aDuration.count() + 999) / 1000);
}

/// Returns what a transfer's end implies for the effect of the request.
CallEnd CallEndOf(CURLcode aCode, bool aHasResponse, long aRequestBytes) {
  if (aHasResponse) {
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

const std::shared_ptr<ByteBudget>& DefaultResponseBudget() {
  static const auto budget = std::make_shared<ByteBudget>(kDefaultBudgetBytes);
  return budget;
}

CurlTransfer::CurlTransfer(HttpCall aCall, PartCallback aOnPart,
                           std::shared_ptr<ByteBudget> aBudget)
    : call(std::move(aCall)),
      onPart(std::move(aOnPart)),
      body(std::move(aBudget), this->call.maxBodyBytes),
      easy(curl_easy_init()) {
  ZINCSTEP_ASSERT(this->easy != nullptr);
  curl_easy_setopt(this->easy, CURLOPT_URL, this->call.url.c_str());
  curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
  curl_easy_setopt(this->easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(this->easy, CURLOPT_PROTOCOLS_STR, "http,https");
  // The parser reads HTTP/1.1, and the chunks as they were sent.
  curl_easy_setopt(this->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(this->easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION,
                   &CurlTransfer::OnBodyBytes);
  curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION,
                   &CurlTransfer::OnHeadLine);
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
    this->parser.ExpectNoBody();
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

std::size_t CurlTransfer::OnBodyBytes(char* aData, std::size_t aSize,
                                      std::size_t aCount, void* aSelf) {
  auto* self = static_cast<CurlTransfer*>(aSelf);
  const std::size_t bytes = aSize * aCount;
  return self->Parse({aData, bytes}) ? bytes : 0;
}

std::size_t CurlTransfer::OnHeadLine(char* aData, std::size_t aSize,
                                     std::size_t aCount, void* aSelf) {
  auto* self = static_cast<CurlTransfer*>(aSelf);
  const std::size_t bytes = aSize * aCount;
  if (self->parser.HasHead()) {
    return bytes;  // A trailer, which the parser reads with the chunks.
  }
  return self->Parse({aData, bytes}) ? bytes : 0;
}

bool CurlTransfer::Parse(std::string_view aBytes) {
  const auto consumed = this->parser.Feed(aBytes);
  if (!consumed && this->result.fault.empty()) {
    this->result.fault = consumed.error().message;
  }
  return this->result.fault.empty();
}

void CurlTransfer::OnHead(HttpHead aHead) {
  this->result.status = aHead.status;
  this->result.headers = std::move(aHead.headers);
}

void CurlTransfer::OnBody(std::string_view aPart) {
  if (!this->result.fault.empty()) {
    return;
  }
  if (this->call.streamed && this->onPart) {
    if (!this->onPart(std::string(aPart))) {
      this->result.fault = "a part of the response was rejected";
    }
    return;
  }
  const std::size_t size = this->body.Text().size() + aPart.size();
  if (!this->body.Append(aPart)) {
    this->result.fault =
        size > this->call.maxBodyBytes
            ? "the response exceeds the maximum size"
            : "the responses exceed their maximum size together";
    this->body.Clear();
  }
}

bool CurlTransfer::HasSentBody() const {
  curl_off_t sent = 0;
  curl_easy_getinfo(this->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
  return static_cast<std::size_t>(sent) >= this->call.body.size();
}

bool CurlTransfer::HasResponse(CURLcode aCode) {
  // libcurl stops an upload when the server ends the connection, whether in
  // order or not, so that this is the end of no response without a length.
  const bool isEnded = this->parser.IsComplete() || this->HasSentBody();
  if (aCode == CURLE_OK && this->result.fault.empty() && isEnded &&
      this->parser.FeedEnd()) {
    return true;
  }
  if (this->result.fault.empty()) {
    this->result.fault = aCode == CURLE_OK ? "the response is incomplete"
                                           : curl_easy_strerror(aCode);
  }
  return false;
}

HttpCallResult CurlTransfer::Finish(CURLcode aCode) {
  long requestBytes = 0;
  curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &requestBytes);
  this->result.end = CallEndOf(aCode, this->HasResponse(aCode), requestBytes);
  this->result.body = this->body.Take();
  return std::move(this->result);
}

HttpCallResult FetchBlocking(const HttpCall& aCall,
                             std::shared_ptr<ByteBudget> aBudget) {
  CurlTransfer transfer(aCall, nullptr, std::move(aBudget));
  return transfer.Finish(curl_easy_perform(transfer.Handle()));
}

}  // namespace zincstep
