#include "settings/app_runner.h"

#include <algorithm>
#include <utility>

namespace ochrespring::settings {

using Errors = std::vector<SettingsError>;

Result<std::optional<std::string>, Errors> run_app(CLI::App& app,
                                                   std::vector<std::string> arguments,
                                                   const std::string& version) {
  // CLI11 expects the arguments in reverse order.
  std::reverse(arguments.begin(), arguments.end());
  try {
    app.parse(std::move(arguments));
  } catch (const CLI::CallForHelp&) {
    return std::optional<std::string>(app.help());
  } catch (const CLI::CallForVersion&) {
    return std::optional<std::string>(version + "\n");
  } catch (const CLI::FileError& error) {
    return outcome::failure(Errors{{SettingsErrc::kFile, std::string("config: ") + error.what()}});
  } catch (const CLI::ParseError& error) {
    return outcome::failure(Errors{{SettingsErrc::kSyntax, error.what()}});
  }
  return std::optional<std::string>();
}

}  // namespace ochrespring::settings
