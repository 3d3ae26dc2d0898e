#include "settings/reader.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace coltsfoot::settings {
namespace {

struct located_error {
  int line;
  std::string message;
};

}  // namespace

struct reader::state {
  std::string name;
  YAML::Node root;
  std::set<std::string, std::less<>> known_keys;
  std::vector<located_error> errors;
  bool unreadable = false;

  void AddError(int line, std::string message) { errors.push_back({line, std::move(message)}); }

  void Parse(const std::string& text) {
    try {
      root = YAML::Load(text);
    } catch (const YAML::Exception& failure) {
      unreadable = true;
      AddError(failure.mark.line + 1, failure.msg);
      root = YAML::Node(YAML::NodeType::Map);
      return;
    }
    if (root.IsNull()) root = YAML::Node(YAML::NodeType::Map);
    if (!root.IsMap()) {
      unreadable = true;
      AddError(1, "expected a mapping of keys to values");
      root = YAML::Node(YAML::NodeType::Map);
    }
    CheckRepeatedKeys();
  }

  // yaml-cpp keeps repeated keys, and a lookup silently ignores the second one.
  void CheckRepeatedKeys() {
    std::set<std::string> seen;
    for (const auto& item : root) {
      const auto key = item.first.as<std::string>("");
      if (!seen.insert(key).second) {
        AddError(item.first.Mark().line + 1, fmt::format("key '{}' is repeated", key));
      }
    }
  }

  YAML::Node Find(std::string_view key) {
    known_keys.emplace(key);
    const YAML::Node& const_root = root;
    return const_root[std::string(key)];
  }

  // The keys of a file that cannot be read or parsed are unknown, so none is reported as missing.
  void AddMissingKey(std::string_view key) {
    if (!unreadable) AddError(1, fmt::format("key '{}' is missing", key));
  }

  static int LineOf(const YAML::Node& node) { return node.Mark().line + 1; }

  std::optional<std::int64_t> ParseNumber(std::string_view key, const YAML::Node& node,
                                          range allowed) {
    const std::string text = node.IsScalar() ? node.Scalar() : "";
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [parsed, failure] = std::from_chars(text.data(), end, value);
    if (text.empty() || failure != std::errc{} || parsed != end) {
      AddError(LineOf(node), fmt::format("key '{}' must be a whole number", key));
      return std::nullopt;
    }
    if (value < allowed.min || value > allowed.max) {
      AddError(LineOf(node), fmt::format("key '{}' is {}, allowed are {} to {}", key, value,
                                         allowed.min, allowed.max));
      return std::nullopt;
    }
    return value;
  }

  std::optional<std::string> ParseText(std::string_view key, const YAML::Node& node) {
    if (node.IsScalar() && !node.Scalar().empty()) return node.Scalar();
    AddError(LineOf(node), fmt::format("key '{}' must be a non-empty string", key));
    return std::nullopt;
  }
};

reader::reader(std::unique_ptr<state> content) : state_(std::move(content)) {}
reader::~reader() = default;
reader::reader(reader&&) noexcept = default;

reader reader::FromFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (file.is_open()) return FromText(text.str(), path);
  reader out = FromText("", path);
  out.state_->unreadable = true;
  out.state_->AddError(1, "file cannot be read");
  return out;
}

reader reader::FromText(std::string_view text, std::string name) {
  auto content = std::make_unique<state>();
  content->name = std::move(name);
  content->Parse(std::string(text));
  return reader(std::move(content));
}

std::string reader::Text(std::string_view key) {
  const YAML::Node node = state_->Find(key);
  if (!node) {
    state_->AddMissingKey(key);
    return "";
  }
  return state_->ParseText(key, node).value_or("");
}

std::string reader::Text(std::string_view key, std::string fallback) {
  const YAML::Node node = state_->Find(key);
  if (!node) return fallback;
  return state_->ParseText(key, node).value_or(std::move(fallback));
}

std::int64_t reader::Number(std::string_view key, range allowed) {
  const YAML::Node node = state_->Find(key);
  if (!node) {
    state_->AddMissingKey(key);
    return allowed.min;
  }
  return state_->ParseNumber(key, node, allowed).value_or(allowed.min);
}

std::int64_t reader::Number(std::string_view key, range allowed, std::int64_t fallback) {
  const YAML::Node node = state_->Find(key);
  if (!node) return fallback;
  return state_->ParseNumber(key, node, allowed).value_or(fallback);
}

double reader::PositiveDecimal(std::string_view key, double fallback) {
  const YAML::Node node = state_->Find(key);
  if (!node) return fallback;
  const std::string text = node.IsScalar() ? node.Scalar() : "";
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, failure] = std::from_chars(text.data(), end, value);
  if (!text.empty() && failure == std::errc{} && parsed == end && value > 0) return value;
  state_->AddError(state::LineOf(node), fmt::format("key '{}' must be a positive number", key));
  return fallback;
}

bool reader::Flag(std::string_view key, bool fallback) {
  const YAML::Node node = state_->Find(key);
  if (!node) return fallback;
  const std::string text = node.IsScalar() ? node.Scalar() : "";
  if (text == "true" || text == "false") return text == "true";
  state_->AddError(state::LineOf(node), fmt::format("key '{}' must be true or false", key));
  return fallback;
}

std::vector<std::string> reader::TextList(std::string_view key) {
  const YAML::Node node = state_->Find(key);
  std::vector<std::string> out;
  if (!node) return out;
  if (!node.IsSequence()) {
    state_->AddError(state::LineOf(node), fmt::format("key '{}' must be a list", key));
    return out;
  }
  for (const YAML::Node& item : node) {
    if (auto text = state_->ParseText(key, item)) out.push_back(std::move(*text));
  }
  return out;
}

void reader::Reject(std::string_view key, std::string_view message) {
  const YAML::Node node = state_->Find(key);
  state_->AddError(node ? state::LineOf(node) : 1, fmt::format("key '{}' {}", key, message));
}

std::vector<std::string> reader::Finish() {
  for (const auto& item : state_->root) {
    const auto key = item.first.as<std::string>("");
    if (!state_->known_keys.contains(key)) {
      state_->AddError(state::LineOf(item.first), fmt::format("key '{}' is not known", key));
    }
  }
  std::stable_sort(state_->errors.begin(), state_->errors.end(),
                   [](const auto& left, const auto& right) { return left.line < right.line; });
  std::vector<std::string> out;
  out.reserve(state_->errors.size());
  for (const auto& error : state_->errors) {
    out.push_back(fmt::format("{}:{}: {}", state_->name, error.line, error.message));
  }
  return out;
}

}  // namespace coltsfoot::settings
