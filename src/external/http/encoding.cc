#include "external/http/encoding.h"

#include <openssl/evp.h>

#include <charconv>

namespace ochrespring::external {

namespace {

constexpr std::size_t kBase64Group = 4;
constexpr std::size_t kByteGroup = 3;
constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr int kHexBase = 16;

bool is_unreserved(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') ||
         std::string_view("-._~/").find(character) != std::string_view::npos;
}

}  // namespace

std::string base64_encode(std::string_view bytes) {
  const std::size_t length = (bytes.size() + kByteGroup - 1) / kByteGroup * kBase64Group;
  std::string text(length + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(bytes.data()),
                  static_cast<int>(bytes.size()));
  text.resize(length);
  return text;
}

std::optional<std::string> base64_decode(std::string_view text) {
  if (text.size() % kBase64Group != 0) {
    return std::nullopt;
  }
  std::string bytes(text.size() / kBase64Group * kByteGroup, '\0');
  const int decoded = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                      reinterpret_cast<const unsigned char*>(text.data()),
                                      static_cast<int>(text.size()));
  if (decoded < 0) {
    return std::nullopt;
  }
  const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
  bytes.resize(static_cast<std::size_t>(decoded) - padding);
  return bytes;
}

std::string percent_encode(std::string_view text) {
  std::string encoded;
  for (const char character : text) {
    if (is_unreserved(character)) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kHexDigits[byte / kHexBase];
    encoded += kHexDigits[byte % kHexBase];
  }
  return encoded;
}

std::optional<std::string> percent_decode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    const std::string_view digits = text.substr(i + 1, 2);
    unsigned byte = 0;
    const auto end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, byte, kHexBase);
    if (digits.size() != 2 || parsed.ptr != end) {
      return std::nullopt;
    }
    decoded += static_cast<char>(byte);
    i += digits.size();
  }
  return decoded;
}

std::optional<std::string> query_parameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return percent_decode(pair.substr(equals + 1));
    }
    query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
  }
  return std::nullopt;
}

std::optional<std::uint64_t> query_number(std::string_view query, std::string_view name) {
  const std::optional<std::string> text = query_parameter(query, name);
  if (!text) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text->data(), text->data() + text->size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text->data() + text->size()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace ochrespring::external
