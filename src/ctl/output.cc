#include "ctl/output.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "fleet/file_writer.h"
#include "operator_api/proto_resources.h"

namespace ochrespring::ctl {

namespace {

constexpr std::size_t kColumnGap = 2;

void print_row(std::ostream& out, const std::vector<std::string>& row,
               const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t column = 0; column < row.size(); ++column) {
    line += row[column];
    if (column + 1 < row.size()) {
      line.append(widths[column] - row[column].size() + kColumnGap, ' ');
    }
  }
  out << line << '\n';
}

std::string name_of(const v1::ResourceKey& key) {
  const auto known = operator_api::from_proto(key);
  return known ? std::string(to_string(known->kind)) + " " + known->name : key.name();
}

}  // namespace

void print_table(std::ostream& out, const Table& table) {
  std::vector<std::size_t> widths(table.header.size(), 0);
  const auto widen = [&widths](const std::vector<std::string>& row) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  };
  widen(table.header);
  std::for_each(table.rows.begin(), table.rows.end(), widen);
  print_row(out, table.header, widths);
  for (const auto& row : table.rows) {
    print_row(out, row, widths);
  }
}

void print(std::ostream& out, OutputFormat format, const nlohmann::ordered_json& value,
           const Table& table) {
  switch (format) {
    case OutputFormat::kTable:
      return print_table(out, table);
    case OutputFormat::kJson:
      out << value.dump(2) << '\n';
      return;
    case OutputFormat::kYaml:
      out << fleet::to_yaml(value);
      return;
  }
}

nlohmann::ordered_json to_json(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string text;
  (void)google::protobuf::util::MessageToJsonString(message, &text, options);
  return nlohmann::ordered_json::parse(text);
}

void print_failure(std::ostream& err, const CallFailure& failure, const std::string& file,
                   const fleet::SourceLines* lines) {
  for (const fleet::FieldError& field : failure.fields) {
    const std::uint32_t line =
        field.line == 0 && lines != nullptr ? lines->line_of(field.field) : field.line;
    if (!file.empty()) {
      err << file << ":" << (line == 0 ? "" : std::to_string(line) + ":") << " ";
    }
    err << (field.field.empty() ? "" : field.field + ": ") << field.message << '\n';
  }
  err << "error: " << failure.message << '\n';
}

void print_changes(std::ostream& out, const v1::MutationResponse& response) {
  for (const v1::ResourceChange& change : response.changes()) {
    switch (change.change()) {
      case v1::CHANGE_KIND_CREATED:
        out << "+ " << name_of(change.key()) << '\n';
        break;
      case v1::CHANGE_KIND_DELETED:
        out << "- " << name_of(change.key()) << '\n';
        break;
      default:
        for (const v1::FieldChange& field : change.fields()) {
          out << "~ " << name_of(change.key()) << ": " << field.field() << ": " << field.before()
              << " -> " << field.after() << '\n';
        }
    }
  }
}

}  // namespace ochrespring::ctl
