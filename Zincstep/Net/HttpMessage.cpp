#include "Zincstep/Net/HttpMessage.h"

#include <algorithm>
#include <cctype>

namespace zincstep {

bool SameHeaderName(std::string_view aLeft, std::string_view aRight) {
  const auto isEqual = [](unsigned char aLeftChar, unsigned char aRightChar) {
    return std::tolower(aLeftChar) == std::tolower(aRightChar);
  };
  return std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(),
                    isEqual);
}

std::string_view FindHeader(const HttpHeaders& aHeaders,
                            std::string_view aName) {
  for (const HttpHeader& header : aHeaders) {
    if (SameHeaderName(header.name, aName)) {
      return header.value;
    }
  }
  return {};
}

std::string QueryValue(std::string_view aQuery, std::string_view aName) {
  while (!aQuery.empty()) {
    const std::size_t end = std::min(aQuery.find('&'), aQuery.size());
    const std::string_view pair = aQuery.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return std::string(pair.substr(equals + 1));
    }
    aQuery.remove_prefix(std::min(end + 1, aQuery.size()));
  }
  return {};
}

}  // namespace zincstep
