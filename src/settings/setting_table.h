// All settings of a node: key, meaning, allowed values, and how a value is stored. Private to
// src/settings.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "settings/node_settings.h"

namespace ochrespring::settings {

/// One setting.
struct SettingSpecification {
  std::string key;  ///< Flag without the dashes, and key in the settings file.
  std::string help;
  std::string allowed;        ///< Shown in --help and in errors.
  std::string default_value;  ///< Empty if there is no default.
  bool required = false;
  bool repeated = false;  ///< Accepts a list.
  /// Stores one value; returns whether it is valid.
  std::function<bool(const std::string& text, NodeSettings& settings)> store;
};

/// All settings, in the order of --help.
std::vector<SettingSpecification> make_setting_table();

}  // namespace ochrespring::settings
