#pragma once

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Net/HttpMessage.h"

namespace zincstep {

/// The head of a request or of an answer.
struct HttpHead {
  /// Of a request; empty in an answer.
  std::string method;
  /// Path and query of a request as they came; empty in an answer.
  std::string target;
  /// Of an answer; 0 in a request.
  int status = 0;
  HttpHeaders headers;
  /// Whether the sender keeps the connection for another message.
  bool keepsAlive = true;
};

/// Is told of the parts of a message as they come.
class HttpParserListener {
 public:
  virtual ~HttpParserListener() = default;

  /// The head is complete.
  virtual void OnHead(HttpHead aHead) = 0;
  /// A part of the body without its chunked coding.
  virtual void OnBody(std::string_view aPart) = 0;
  /// The message is complete.
  virtual void OnMessageEnd() = 0;
};

/// Which messages a parser reads.
enum class HttpSide { Request, Answer };

/// Reads HTTP/1.1 messages from a byte stream, one at a time.
///
/// Stops behind each message, so that what follows belongs to the next
/// one, or to nobody. By the `http_parser` library, which refuses messages
/// with both a length and a chunked coding.
class HttpParser {
 public:
  HttpParser(HttpSide aSide, HttpParserListener& aListener);
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  /// Reads up to the end of the message; gives the bytes consumed.
  ///
  /// Fails with `BadRequest` where the bytes are no message, or with
  /// `RequestTooLarge` where the head is over the limit.
  Result<std::size_t> Feed(std::string_view aBytes);
  /// The stream has ended; true where that completes the message.
  bool FeedEnd();
  /// Prepares for the next message on the same stream.
  void Reset();

  /// Longest head that is accepted, in bytes.
  void SetMaxHeadBytes(std::size_t aBytes) { this->maxHeadBytes = aBytes; }
  /// Whether the message has ended.
  bool IsComplete() const { return this->isComplete; }
  /// Whether any byte of the present message has come.
  bool HasBegun() const { return this->hasBegun; }
  /// Whether the head of the present message is complete.
  bool HasHead() const { return this->hasHead; }

 private:
  static HttpParser& Of(http_parser* aParser);
  static const http_parser_settings& Callbacks();
  int OnName(std::string_view aPart);
  int OnValue(std::string_view aPart);
  int OnHeadersComplete();
  int OnComplete();
  bool CountHeadBytes(std::size_t aBytes);

  HttpParserListener& listener;
  HttpSide side;
  http_parser parser{};
  HttpHead head;
  std::size_t maxHeadBytes = 64 << 10;
  std::size_t headBytes = 0;
  bool lastWasValue = true;
  bool hasBegun = false;
  bool hasHead = false;
  bool isComplete = false;
};

}  // namespace zincstep
