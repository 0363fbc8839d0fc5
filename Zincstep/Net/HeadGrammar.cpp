#include "Zincstep/Net/HeadGrammar.h"

#include <algorithm>
#include <array>

namespace zincstep {

namespace {

constexpr unsigned char kDelete = 0x7f;

/// Bytes that may be part of a token.
constexpr std::array<bool, 256> kTokenBytes = [] {
  std::array<bool, 256> bytes{};
  for (const char byte : std::string_view("!#$%&'*+-.^_`|~0123456789"
                                          "abcdefghijklmnopqrstuvwxyz"
                                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ")) {
    bytes[static_cast<unsigned char>(byte)] = true;
  }
  return bytes;
}();

bool IsTokenByte(unsigned char aByte) { return kTokenBytes[aByte]; }

bool IsDigit(char aByte) { return aByte >= '0' && aByte <= '9'; }

/// Whether the byte may be part of a field's value or of a reason phrase.
bool IsTextByte(unsigned char aByte) {
  return aByte == '\t' || (aByte >= ' ' && aByte != kDelete);
}

/// Length of "HTTP/1.1 " and of a status.
constexpr std::size_t kVersionBytes = 9;
constexpr std::size_t kStatusBytes = 3;

}  // namespace

bool IsToken(std::string_view aText) {
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenByte);
}

void HeadGrammar::Reset() {
  this->part = Part::Start;
  this->line.clear();
  this->isStartLine = true;
  this->isInterim = false;
}

const char* HeadGrammar::Check(std::string_view aBytes) {
  for (const char byte : aBytes) {
    if (this->part == Part::Body) {
      return nullptr;
    }
    if (const char* fault = this->CheckByte(static_cast<unsigned char>(byte))) {
      return fault;
    }
  }
  return nullptr;
}

const char* HeadGrammar::CheckByte(unsigned char aByte) {
  if (this->part == Part::LineEnd) {
    return aByte == '\n' ? this->EndLine() : "a line does not end in CR LF";
  }
  if (aByte == '\r') {
    if (this->isStartLine) {
      // Empty lines may precede a request.
      const bool isEmpty =
          this->line.empty() && this->side == HttpSide::Request;
      if (const char* fault = isEmpty ? nullptr : this->CheckStart()) {
        return fault;
      }
    } else if (this->part == Part::Name && !this->line.empty()) {
      return "a field without a colon";
    }
    this->part = Part::LineEnd;
    return nullptr;
  }
  if (this->line.size() < kMaxExcerptBytes) {
    this->line += static_cast<char>(aByte);
  }
  if (this->isStartLine) {
    return this->CheckStartByte(aByte);
  }
  if (this->part == Part::Name) {
    return this->CheckNameByte(aByte);
  }
  return IsTextByte(aByte) ? nullptr : "a control byte in a field's value";
}

const char* HeadGrammar::CheckStartByte(unsigned char aByte) {
  const bool isBlank = aByte == '\t' && this->side == HttpSide::Request;
  return IsTextByte(aByte) && !isBlank ? nullptr
                                       : "a control byte in the start line";
}

const char* HeadGrammar::CheckNameByte(unsigned char aByte) {
  if (aByte == ':' && this->line.size() > 1) {
    this->part = Part::Value;
    return nullptr;
  }
  return IsTokenByte(aByte) ? nullptr : "the name of a field is no token";
}

const char* HeadGrammar::CheckStart() {
  if (this->side == HttpSide::Request) {
    return nullptr;  // The parser checks its method, target and version.
  }
  constexpr std::size_t kLength = kVersionBytes + kStatusBytes;
  const std::string_view status =
      std::string_view(this->line).substr(0, kLength);
  const bool isVersion =
      status.starts_with("HTTP/1.1 ") || status.starts_with("HTTP/1.0 ");
  if (!isVersion) {
    return "no version of HTTP/1";
  }
  const bool hasDigits =
      status.size() == kLength &&
      std::all_of(status.begin() + kVersionBytes, status.end(), IsDigit);
  const bool hasEnd =
      hasDigits && (this->line.size() == kLength || this->line[kLength] == ' ');
  const char first = hasDigits ? status[kVersionBytes] : '0';
  if (!hasEnd || first < '1' || first > '5') {
    return "the status is not one of 100 to 599";
  }
  this->isInterim = first == '1';
  return status.ends_with("101") ? "a switch to another protocol" : nullptr;
}

const char* HeadGrammar::EndLine() {
  const bool isHeadEnd = !this->isStartLine && this->line.empty();
  const bool wasEmptyStart = this->isStartLine && this->line.empty();
  this->line.clear();
  if (isHeadEnd && this->isInterim) {
    this->Reset();
    return nullptr;
  }
  if (isHeadEnd) {
    this->part = Part::Body;
    return nullptr;
  }
  this->isStartLine = wasEmptyStart;
  this->part = wasEmptyStart ? Part::Start : Part::Name;
  return nullptr;
}

}  // namespace zincstep
