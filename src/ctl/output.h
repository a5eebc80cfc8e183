// What the commands print: tables for people, JSON or YAML for programs.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "ctl/client.h"
#include "fleet/file_reader.h"

namespace google::protobuf {
class Message;
}  // namespace google::protobuf

namespace ochrespring::ctl {

enum class OutputFormat : std::uint8_t { kTable, kJson, kYaml };

struct Table {
  std::vector<std::string> header;
  std::vector<std::vector<std::string>> rows;
};

/// Prints aligned columns; nothing but the header without rows.
void print_table(std::ostream& out, const Table& table);

/// Prints the value in the format, or the table.
void print(std::ostream& out, OutputFormat format, const nlohmann::ordered_json& value,
           const Table& table);

/// A message as JSON under the schema's field names, zero values included.
nlohmann::ordered_json to_json(const google::protobuf::Message& message);

/// Prints a failure; fields with `file:line:` if they are found in the file.
void print_failure(std::ostream& err, const CallFailure& failure, const std::string& file = "",
                   const fleet::SourceLines* lines = nullptr);

/// Prints each change as a line `+ engine a`, `~ engine a: role: mixed -> decode`, `- engine a`.
void print_changes(std::ostream& out, const v1::MutationResponse& response);

}  // namespace ochrespring::ctl
