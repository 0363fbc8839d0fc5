#include "Zincstep/Net/HttpParser.h"

namespace zincstep {

namespace {

/// A status below this is an interim response, followed by the final one.
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
/// Maximum number of interim responses to one request.
constexpr int kMaxInterimResponses = 16;
/// Results of `on_headers_complete`: http_parser expects no body, or fails.
constexpr int kSkipBody = 1;
constexpr int kFailed = -1;

}  // namespace

HttpParser::HttpParser(HttpSide aSide, HttpParserListener& aListener)
    : listener(aListener), side(aSide), grammar(aSide) {
  this->Reset();
}

void HttpParser::Reset() {
  http_parser_init(&this->parser, this->side == HttpSide::Request
                                      ? HTTP_REQUEST
                                      : HTTP_RESPONSE);
  this->parser.data = this;
  this->grammar.Reset();
  this->fault = nullptr;
  this->head = HttpHead{};
  this->headBytes = 0;
  this->interimResponses = 0;
  this->lastWasValue = true;
  this->hasBegun = false;
  this->hasHead = false;
  this->isComplete = false;
}

HttpParser& HttpParser::Of(http_parser* aParser) {
  return *static_cast<HttpParser*>(aParser->data);
}

const http_parser_settings& HttpParser::Callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings result;
    http_parser_settings_init(&result);
    result.on_url = [](http_parser* aParser, const char* aAt,
                       std::size_t aSize) {
      Of(aParser).head.target.append(aAt, aSize);
      return Of(aParser).CountHeadBytes(aSize) ? 0 : 1;
    };
    result.on_header_field = [](http_parser* aParser, const char* aAt,
                                std::size_t aSize) {
      return Of(aParser).OnHeaderName({aAt, aSize});
    };
    result.on_header_value = [](http_parser* aParser, const char* aAt,
                                std::size_t aSize) {
      return Of(aParser).OnHeaderValue({aAt, aSize});
    };
    result.on_headers_complete = [](http_parser* aParser) {
      return Of(aParser).OnHeadersComplete();
    };
    result.on_body = [](http_parser* aParser, const char* aAt,
                        std::size_t aSize) {
      Of(aParser).listener.OnBody({aAt, aSize});
      return 0;
    };
    result.on_message_complete = [](http_parser* aParser) {
      return Of(aParser).OnMessageComplete();
    };
    return result;
  }();
  return settings;
}

bool HttpParser::CountHeadBytes(std::size_t aBytes) {
  this->headBytes += aBytes;
  return this->headBytes <= this->maxHeadBytes;
}

int HttpParser::OnHeaderName(std::string_view aPart) {
  if (this->hasHead) {
    return 0;  // Trailers are ignored.
  }
  if (this->lastWasValue) {
    this->head.headers.emplace_back();
    this->lastWasValue = false;
  }
  this->head.headers.back().name.append(aPart);
  return this->CountHeadBytes(aPart.size()) ? 0 : 1;
}

int HttpParser::OnHeaderValue(std::string_view aPart) {
  this->lastWasValue = true;
  if (this->hasHead || this->head.headers.empty()) {
    return 0;
  }
  this->head.headers.back().value.append(aPart);
  return this->CountHeadBytes(aPart.size()) ? 0 : 1;
}

const char* HttpParser::CheckFraming() const {
  if (this->parser.http_major != 1 || this->parser.http_minor > 1) {
    return "no version of HTTP/1";
  }
  const bool isRequest = this->side == HttpSide::Request;
  if (isRequest && this->parser.method == HTTP_CONNECT) {
    return "CONNECT is not supported";
  }
  int hosts = 0;
  int codings = 0;
  for (const HttpHeader& header : this->head.headers) {
    hosts += SameHeaderName(header.name, "Host") ? 1 : 0;
    if (!SameHeaderName(header.name, "Transfer-Encoding")) {
      continue;
    }
    codings += 1;
    const std::string_view coding =
        std::string_view(header.value)
            .substr(0, header.value.find_last_not_of(" \t") + 1);
    if (!SameHeaderName(coding, "chunked") || codings > 1 ||
        this->parser.http_minor == 0) {
      return "a transfer coding that is not supported";
    }
  }
  return isRequest && hosts > 1 ? "more than one host" : nullptr;
}

int HttpParser::OnHeadersComplete() {
  this->fault = this->CheckFraming();
  if (this->fault != nullptr) {
    return kFailed;
  }
  this->hasHead = true;
  this->head.keepsAlive = http_should_keep_alive(&this->parser) != 0;
  if (this->side == HttpSide::Request) {
    this->head.method =
        http_method_str(static_cast<http_method>(this->parser.method));
  } else {
    this->head.status = static_cast<int>(this->parser.status_code);
    if (this->head.status < kFirstFinalStatus) {
      return kSkipBody;  // Also where it states a length.
    }
  }
  // Such a response may state the length of a body that does not follow.
  const bool isBodiless = this->hasNoBody || this->head.status == kNoContent ||
                          this->head.status == kNotModified;
  this->listener.OnHead(std::move(this->head));
  return isBodiless ? kSkipBody : 0;
}

int HttpParser::OnMessageComplete() {
  const bool isInterim = this->side == HttpSide::Response &&
                         this->parser.status_code < kFirstFinalStatus;
  if (isInterim) {
    this->head = HttpHead{};
    this->hasHead = false;
    this->lastWasValue = true;
    this->interimResponses += 1;
    return this->interimResponses <= kMaxInterimResponses ? 0 : 1;
  }
  this->isComplete = true;
  http_parser_pause(&this->parser, 1);
  this->listener.OnMessageEnd();
  return 0;
}

Result<std::size_t> HttpParser::Feed(std::string_view aBytes) {
  if (aBytes.empty()) {
    return std::size_t{0};
  }
  this->hasBegun = true;
  if (const char* fault = this->grammar.Check(aBytes)) {
    return Fail(ErrorKind::BadRequest, fault);
  }
  const std::size_t consumed = http_parser_execute(
      &this->parser, &Callbacks(), aBytes.data(), aBytes.size());
  const auto error = HTTP_PARSER_ERRNO(&this->parser);
  if (error == HPE_OK || error == HPE_PAUSED || this->isComplete) {
    return consumed;
  }
  if (this->headBytes > this->maxHeadBytes || error == HPE_HEADER_OVERFLOW) {
    return Fail(ErrorKind::RequestTooLarge, "message head exceeds the limit");
  }
  if (this->fault != nullptr) {
    return Fail(ErrorKind::BadRequest, this->fault);
  }
  return Fail(ErrorKind::BadRequest, http_errno_description(error));
}

bool HttpParser::FeedEnd() {
  if (this->isComplete) {
    return true;
  }
  if (!this->hasHead) {
    return false;
  }
  http_parser_execute(&this->parser, &Callbacks(), nullptr, 0);
  return this->isComplete;
}

}  // namespace zincstep
