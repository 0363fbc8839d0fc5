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

bool IsDigit(char aByte) { return aByte >= '0' && aByte <= '9'; }

/// Whether the byte may be part of a field's value or of a reason phrase.
bool IsTextByte(unsigned char aByte) {
  return aByte == '\t' || (aByte >= ' ' && aByte != kDelete);
}

/// Length of "HTTP/1.1 " and of a status.
constexpr std::size_t kVersionBytes = 9;
constexpr std::size_t kStatusBytes = 3;

}  // namespace

void HeadGrammar::Reset() {
  this->part = Part::Start;
  this->line.clear();
  this->awaitsLineFeed = false;
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
  if (this->awaitsLineFeed) {
    if (aByte != '\n') {
      return "a line does not end in CR LF";
    }
    this->EndLine();
    return nullptr;
  }
  if (aByte == '\r') {
    this->awaitsLineFeed = true;
    return this->CheckLine();
  }
  if (this->line.size() < kMaxExcerptBytes) {
    this->line += static_cast<char>(aByte);
  }
  if (this->part == Part::Name) {
    return this->CheckNameByte(aByte);
  }
  if (!IsTextByte(aByte)) {
    return "a control byte";
  }
  // Some servers take a tab for the blank between the parts of a request line.
  const bool isTab = aByte == '\t' && this->side == HttpSide::Request;
  return this->part == Part::Start && isTab ? "a tab in the request line"
                                            : nullptr;
}

const char* HeadGrammar::CheckNameByte(unsigned char aByte) {
  if (aByte == ':' && this->line.size() > 1) {
    this->part = Part::Value;
    return nullptr;
  }
  return kTokenBytes[aByte] ? nullptr : "the name of a field is no token";
}

const char* HeadGrammar::CheckLine() {
  if (this->part == Part::Start && this->side == HttpSide::Response) {
    return this->CheckStatusLine();
  }
  const bool isName = this->part == Part::Name && !this->line.empty();
  return isName ? "a field without a colon" : nullptr;
}

const char* HeadGrammar::CheckStatusLine() {
  constexpr std::size_t kLength = kVersionBytes + kStatusBytes;
  const std::string_view begin =
      std::string_view(this->line).substr(0, kLength);
  if (!begin.starts_with("HTTP/1.1 ") && !begin.starts_with("HTTP/1.0 ")) {
    return "no version of HTTP/1";
  }
  const std::string_view status = begin.substr(kVersionBytes);
  const bool isNumber = status.size() == kStatusBytes &&
                        std::all_of(status.begin(), status.end(), IsDigit);
  const bool isEnded =
      this->line.size() <= kLength || this->line[kLength] == ' ';
  if (!isNumber || !isEnded || status.front() < '1' || status.front() > '5') {
    return "the status is not one of 100 to 599";
  }
  this->isInterim = status.front() == '1';
  return status == "101" ? "a switch to another protocol" : nullptr;
}

void HeadGrammar::EndLine() {
  const bool isEmpty = this->line.empty();
  this->line.clear();
  this->awaitsLineFeed = false;
  if (this->part == Part::Start && isEmpty) {
    return;  // Empty lines may precede a request.
  }
  if (this->part != Part::Name || !isEmpty) {
    this->part = Part::Name;
  } else if (this->isInterim) {
    this->Reset();  // The head of the next response follows.
  } else {
    this->part = Part::Body;
  }
}

}  // namespace zincstep
