#ifndef BASILSPUR_RECORDS_CODEC_H_
#define BASILSPUR_RECORDS_CODEC_H_

#include <cstdint>
#include <exception>
#include <span>
#include <string>
#include <vector>

#include "base/result.h"
#include "records/archive.h"

namespace basilspur::records {

using Bytes = std::vector<std::uint8_t>;

/// Encodes a value of a described type (see archive.h) as CBOR.
/// Thread safety: any thread.
template <class T>
Bytes Encode(const T& value) {
  return nlohmann::json::to_cbor(Encoder::ToNode(value));
}

/// Decodes a value of a described type from CBOR. Returns kCorrupt if the bytes
/// are not valid CBOR or don't match the type.
/// Thread safety: any thread.
template <class T>
Result<T> Decode(std::span<const std::uint8_t> bytes) {
  try {
    const nlohmann::json node =
        nlohmann::json::from_cbor(bytes.begin(), bytes.end());
    T value{};
    Decoder::FromNode(node, value);
    return value;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kCorrupt, "decode", "", error.what()};
  }
}

}  // namespace basilspur::records

#endif  // BASILSPUR_RECORDS_CODEC_H_
