#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace zincstep {

/// Kind of messages that are read.
enum class HttpSide { Request, Response };

/// Checks the lines of message heads against the grammar of HTTP/1.1 (RFC 9112)
/// where `http_parser` is lenient.
///
/// Blanks in the names of fields are rejected, as are folded lines, bare line
/// feeds, control bytes and statuses that are not three digits in 100 to 599.
/// Also 101, since no protocol is ever offered to switch to. Heads of interim
/// responses follow each other without a body.
class HeadGrammar {
 public:
  explicit HeadGrammar(HttpSide aSide) : side(aSide) {}

  /// Checks the next bytes of the stream, up to the end of the final head;
  /// returns what is wrong, or null. Not to be called again after a fault.
  const char* Check(std::string_view aBytes);
  /// Prepares for the head of the next message.
  void Reset();
  /// The begin of the line in which a fault was found; at most
  /// `kMaxExcerptBytes`, and only of that line.
  const std::string& Line() const { return this->line; }

  static constexpr std::size_t kMaxExcerptBytes = 80;

 private:
  enum class Part { Start, Name, Value, Body };

  const char* CheckByte(unsigned char aByte);
  const char* CheckNameByte(unsigned char aByte);
  /// Checks the line whose bytes were read.
  const char* CheckLine();
  const char* CheckStatusLine();
  void EndLine();

  HttpSide side;
  Part part = Part::Start;
  /// Begin of the current line.
  std::string line;
  /// Whether the line feed that ends the current line is due.
  bool awaitsLineFeed = false;
  bool isInterim = false;
};

}  // namespace zincstep
