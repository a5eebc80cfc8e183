// `completion`: a shell script made from the program's own commands and options.
#include <algorithm>
#include <memory>

#include "ctl/command.h"

namespace ochrespring::ctl {

namespace {

constexpr const char* kKinds = "policy tenant service model version adapter engine";

/// Words that may follow a command: its subcommands, its options and the kinds it takes.
std::string words_after(CLI::App& command) {
  std::string words;
  for (const CLI::App* subcommand : command.get_subcommands({})) {
    words += subcommand->get_name() + " ";
  }
  for (const CLI::Option* option : command.get_options({})) {
    for (const std::string& name : option->get_lnames()) {
      words += "--" + name + " ";
    }
    if (option->get_name(true) == "kind") {
      words += std::string(kKinds) + " ";
    }
    if (option->get_name(true) == "target") {
      words += "engine server ";
    }
  }
  return words;
}

/// One case for the command and one for each below it.
std::string cases_of(CLI::App& command, const std::string& path) {
  std::string cases = "    \"" + path + "\") words=\"" + words_after(command) + "\" ;;\n";
  for (CLI::App* subcommand : command.get_subcommands({})) {
    cases += cases_of(*subcommand, path + " " + subcommand->get_name());
  }
  return cases;
}

/// All commands' names, by which the script tells them from other words.
std::string command_names(CLI::App& command) {
  std::string names;
  for (CLI::App* subcommand : command.get_subcommands({})) {
    names += " " + subcommand->get_name() + " " + command_names(*subcommand);
  }
  return names;
}

std::string bash_script(CLI::App& program) {
  return "_ochrespringctl() {\n"
         "  local path=ochrespringctl words='' word i\n"
         "  local commands=\" " +
         command_names(program) +
         " \"\n"
         "  for ((i = 1; i < COMP_CWORD; i++)); do\n"
         "    word=${COMP_WORDS[i]}\n"
         "    [[ $word != -* && $commands == *\" $word \"* ]] && path=\"$path $word\"\n"
         "  done\n"
         "  case \"$path\" in\n" +
         cases_of(program, "ochrespringctl") +
         "  esac\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
         "  [[ ${COMP_WORDS[COMP_CWORD-1]} == -f ]] && "
         "COMPREPLY=($(compgen -f -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
         "}\n"
         "complete -F _ochrespringctl ochrespringctl\n";
}

}  // namespace

void register_completion_command(CLI::App& app, Context& context) {
  auto shell = std::make_shared<std::string>();
  CLI::App* completion = app.add_subcommand("completion", "Print a completion script");
  completion->add_option("shell", *shell, "bash or zsh")
      ->required()
      ->check(CLI::IsMember({"bash", "zsh"}));
  completion->callback([&app, &context, shell] {
    if (*shell == "zsh") {
      context.out << "autoload -U +X compinit && compinit\n"
                     "autoload -U +X bashcompinit && bashcompinit\n";
    }
    context.out << bash_script(app);
  });
}

}  // namespace ochrespring::ctl
