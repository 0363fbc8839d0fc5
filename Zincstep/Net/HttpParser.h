#pragma once

#include <http_parser.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "Zincstep/Core/Core.h"
#include "Zincstep/Net/HeadGrammar.h"
#include "Zincstep/Net/HttpMessage.h"

namespace zincstep {

/// The head of a request or a response.
struct HttpHead {
  /// Method of a request; empty in a response.
  std::string method;
  /// Unmodified path and query of a request; empty in a response.
  std::string target;
  /// Status of a response; 0 in a request.
  int status = 0;
  HttpHeaders headers;
  /// Whether the sender keeps the connection open after the message.
  bool keepsAlive = true;
};

/// Receives the parts of a message as they are parsed.
class HttpParserListener {
 public:
  virtual ~HttpParserListener() = default;

  /// Called with the complete head.
  virtual void OnHead(HttpHead aHead) = 0;
  /// Called with a part of the body, with the chunked coding removed.
  virtual void OnBody(std::string_view aPart) = 0;
  /// Called when the message is complete.
  virtual void OnMessageEnd() = 0;
};

/// Parses HTTP/1.1 messages from a byte stream, one at a time.
///
/// Stops after each message; bytes that follow belong to the next message, or
/// are surplus. Based on the `http_parser` library, which rejects messages with
/// both a content length and a chunked coding; `HeadGrammar` checks the lines
/// of heads. Codings other than chunked are rejected, as is `CONNECT`, which
/// has no body that could be framed.
class HttpParser {
 public:
  HttpParser(HttpSide aSide, HttpParserListener& aListener);
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  /// Parses up to the end of the message and returns the bytes consumed.
  ///
  /// Fails with `BadRequest` if the bytes are not valid HTTP/1.1 or too many
  /// interim responses precede the final one, or with
  /// `RequestTooLarge` if the head exceeds the limit.
  Result<std::size_t> Feed(std::string_view aBytes);
  /// Signals the end of the stream; returns whether the message is complete.
  bool FeedEnd();
  /// Prepares for the next message on the same stream.
  void Reset();

  /// Expects responses to HEAD, which state the length of a body that does not
  /// follow.
  void ExpectNoBody() { this->hasNoBody = true; }
  /// Sets the maximum size of a head, in bytes.
  void SetMaxHeadBytes(std::size_t aBytes) { this->maxHeadBytes = aBytes; }
  /// Whether the current message is complete.
  bool IsComplete() const { return this->isComplete; }
  /// Whether any byte of the current message was received.
  bool HasBegun() const { return this->hasBegun; }
  /// Whether the head of the current message is complete.
  bool HasHead() const { return this->hasHead; }
  /// The begin of the line with which `Feed` failed, if a line of the head was
  /// the cause.
  const std::string& FaultyLine() const { return this->grammar.Line(); }

 private:
  static HttpParser& Of(http_parser* aParser);
  static const http_parser_settings& Callbacks();
  int OnHeaderName(std::string_view aPart);
  int OnHeaderValue(std::string_view aPart);
  int OnHeadersComplete();
  int OnMessageComplete();
  bool CountHeadBytes(std::size_t aBytes);
  /// Returns what is wrong with the fields that frame the message, or null.
  const char* CheckFraming() const;

  HttpParserListener& listener;
  HttpSide side;
  HeadGrammar grammar;
  http_parser parser{};
  HttpHead head;
  std::size_t maxHeadBytes = 64 << 10;
  std::size_t headBytes = 0;
  /// What `CheckFraming` found; null: nothing.
  const char* fault = nullptr;
  int interimResponses = 0;
  bool hasNoBody = false;
  bool lastWasValue = true;
  bool hasBegun = false;
  bool hasHead = false;
  bool isComplete = false;
};

}  // namespace zincstep
