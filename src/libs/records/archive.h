#ifndef BASILSPUR_RECORDS_ARCHIVE_H_
#define BASILSPUR_RECORDS_ARCHIVE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace basilspur::records {

/// Converts a value of a described type to a JSON array that can be written as
/// CBOR.
///
/// A described type has `template <class Self, class A> static void
/// Describe(Self& self, A& archive)`, which passes its fields to the archive in
/// order. New fields must be appended at the end: fields that are missing in
/// older data keep their default values.
///
/// Thread safety: one thread at a time.
class Encoder {
 public:
  template <class... Fields>
  void operator()(const Fields&... fields) {
    (array_.push_back(ToNode(fields)), ...);
  }

  template <class T>
  static nlohmann::json ToNode(const T& value) {
    if constexpr (std::is_enum_v<T>) {
      return static_cast<std::int64_t>(value);
    } else if constexpr (std::is_arithmetic_v<T> ||
                         std::is_same_v<T, std::string>) {
      return value;
    } else {
      return ComposedNode(value);
    }
  }

 private:
  template <class T>
  static nlohmann::json ComposedNode(const T& value) {
    Encoder encoder;
    T::Describe(value, encoder);
    return std::move(encoder.array_);
  }

  template <class T>
  static nlohmann::json ComposedNode(const std::optional<T>& value) {
    return value ? ToNode(*value) : nlohmann::json();
  }

  template <class T>
  static nlohmann::json ComposedNode(const std::vector<T>& values) {
    return SequenceNode(values);
  }

  template <class T>
  static nlohmann::json ComposedNode(const std::deque<T>& values) {
    return SequenceNode(values);
  }

  template <class T>
  static nlohmann::json ComposedNode(const std::set<T>& values) {
    return SequenceNode(values);
  }

  template <class K, class V>
  static nlohmann::json ComposedNode(const std::map<K, V>& values) {
    nlohmann::json node = nlohmann::json::array();
    for (const auto& [key, value] : values) {
      node.push_back(ToNode(key));
      node.push_back(ToNode(value));
    }
    return node;
  }

  template <class... Ts>
  static nlohmann::json ComposedNode(const std::variant<Ts...>& value) {
    nlohmann::json node = nlohmann::json::array();
    node.push_back(value.index());
    node.push_back(std::visit(
        [](const auto& alternative) { return ToNode(alternative); }, value));
    return node;
  }

  template <class Sequence>
  static nlohmann::json SequenceNode(const Sequence& values) {
    nlohmann::json node = nlohmann::json::array();
    for (const auto& value : values) node.push_back(ToNode(value));
    return node;
  }

  nlohmann::json array_ = nlohmann::json::array();
};

/// Reads the output of Encoder. Throws std::exception if the data does not
/// match the type; Decode() in codec.h converts that to an Error.
///
/// Thread safety: one thread at a time.
class Decoder {
 public:
  /// Precondition: `array` must outlive the decoder.
  explicit Decoder(const nlohmann::json& array) : array_(array) {
    if (!array.is_array()) throw std::invalid_argument("expected an array");
  }

  template <class... Fields>
  void operator()(Fields&... fields) {
    (ReadNext(fields), ...);
  }

  template <class T>
  static void FromNode(const nlohmann::json& node, T& value) {
    if constexpr (std::is_enum_v<T>) {
      value = static_cast<T>(node.get<std::int64_t>());
    } else if constexpr (std::is_arithmetic_v<T> ||
                         std::is_same_v<T, std::string>) {
      node.get_to(value);
    } else {
      ComposedValue(node, value);
    }
  }

 private:
  template <class T>
  void ReadNext(T& field) {
    if (next_index_ < array_.size()) FromNode(array_[next_index_++], field);
  }

  template <class T>
  static void ComposedValue(const nlohmann::json& node, T& value) {
    Decoder decoder(node);
    T::Describe(value, decoder);
  }

  template <class T>
  static void ComposedValue(const nlohmann::json& node,
                            std::optional<T>& value) {
    if (node.is_null()) {
      value.reset();
      return;
    }
    FromNode(node, value.emplace());
  }

  template <class T>
  static void ComposedValue(const nlohmann::json& node,
                            std::vector<T>& values) {
    values.reserve(node.size());
    DecodeSequence(node, values);
  }

  template <class T>
  static void ComposedValue(const nlohmann::json& node, std::deque<T>& values) {
    DecodeSequence(node, values);
  }

  template <class T>
  static void ComposedValue(const nlohmann::json& node, std::set<T>& values) {
    RequireArray(node);
    values.clear();
    for (const auto& child : node) {
      T value{};
      FromNode(child, value);
      values.insert(std::move(value));
    }
  }

  template <class K, class V>
  static void ComposedValue(const nlohmann::json& node,
                            std::map<K, V>& values) {
    RequireArray(node);
    values.clear();
    for (std::size_t i = 0; i + 1 < node.size(); i += 2) {
      K key{};
      FromNode(node[i], key);
      FromNode(node[i + 1], values[std::move(key)]);
    }
  }

  template <class... Ts>
  static void ComposedValue(const nlohmann::json& node,
                            std::variant<Ts...>& value) {
    RequireArray(node);
    const auto index = node.at(0).get<std::size_t>();
    if (index >= sizeof...(Ts))
      throw std::invalid_argument("unknown variant index");
    EmplaceAlternative<0>(index, node.at(1), value);
  }

  template <std::size_t I, class... Ts>
  static void EmplaceAlternative(std::size_t index, const nlohmann::json& node,
                                 std::variant<Ts...>& value) {
    if constexpr (I < sizeof...(Ts)) {
      if (index == I) {
        FromNode(node, value.template emplace<I>());
        return;
      }
      EmplaceAlternative<I + 1>(index, node, value);
    }
  }

  template <class Sequence>
  static void DecodeSequence(const nlohmann::json& node, Sequence& values) {
    RequireArray(node);
    values.clear();
    for (const auto& child : node) FromNode(child, values.emplace_back());
  }

  static void RequireArray(const nlohmann::json& node) {
    if (!node.is_array()) throw std::invalid_argument("expected an array");
  }

  const nlohmann::json& array_;
  std::size_t next_index_ = 0;
};

}  // namespace basilspur::records

#endif  // BASILSPUR_RECORDS_ARCHIVE_H_
