#include <algorithm>
#include <chrono>
#include <utility>

#include "fleet/diff.h"
#include "operator_api/handlers.h"
#include "operator_api/proto_resources.h"

namespace ochrespring::operator_api {

namespace {

constexpr std::uint32_t kLargestPage = 1000;
/// A dry run is never recorded, so that one id serves all that come without their own.
constexpr const char* kDryRunId = "dry-run";
constexpr char kTokenSeparator = ':';

fleet::Mutation make_mutation(const v1::MutationHeader& header, fleet::Command command,
                              const Caller& caller, const Clock& clock) {
  fleet::Mutation mutation;
  mutation.id = MutationId(header.mutation_id());
  if (header.dry_run() && mutation.id.empty()) {
    mutation.id = MutationId(kDryRunId);
  }
  if (header.has_expected_revision()) {
    mutation.expected_revision = Revision(header.expected_revision());
  }
  mutation.command = std::move(command);
  mutation.author = caller.certificate_name.empty() ? header.author() : caller.certificate_name;
  mutation.wall_milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock.wall_now().time_since_epoch())
          .count();
  return mutation;
}

void add_changes(const fleet::FleetDocument& before, const fleet::FleetDocument& after,
                 v1::MutationResponse& response) {
  for (const fleet::ResourceChange& change : fleet::diff(before, after)) {
    to_proto(change, *response.add_changes());
  }
}

/// What the mutation would change in the document in force here; empty if it would be refused.
v1::MutationResponse preview(const fleet::FleetDocument& document,
                             const fleet::Mutation& mutation) {
  v1::MutationResponse response;
  const auto applied = fleet::apply(document, mutation);
  if (applied.has_value()) {
    add_changes(document, applied.value(), response);
  }
  return response;
}

std::string page_token(const fleet::ResourceKey& last) {
  return std::string(to_string(last.kind)) + kTokenSeparator + last.name;
}

std::optional<fleet::ResourceKey> parse_page_token(const std::string& token) {
  const std::size_t separator = token.find(kTokenSeparator);
  if (separator == std::string::npos) {
    return std::nullopt;
  }
  const auto kind = fleet::resource_kind(token.substr(0, separator));
  if (!kind) {
    return std::nullopt;
  }
  return fleet::ResourceKey{*kind, token.substr(separator + 1)};
}

std::vector<fleet::Resource> resources_of(const fleet::FleetDocument& document,
                                          std::optional<fleet::ResourceKind> only) {
  std::vector<fleet::Resource> resources;
  for (const fleet::ResourceKind kind : fleet::kResourceKinds) {
    if (!only || *only == kind) {
      auto more = fleet::list_resources(document, kind);
      std::move(more.begin(), more.end(), std::back_inserter(resources));
    }
  }
  return resources;
}

}  // namespace

void FleetHandlers::create(const v1::CreateRequest& request, const Caller& caller,
                           const Reply<v1::MutationResponse>& reply) {
  auto resource = from_proto(request.resource());
  if (!resource) {
    return reply(outcome::failure(invalid_field("resource", "is required")));
  }
  mutate(request.header(), fleet::CreateResource{std::move(*resource)}, caller, reply);
}

void FleetHandlers::update(const v1::UpdateRequest& request, const Caller& caller,
                           const Reply<v1::MutationResponse>& reply) {
  auto resource = from_proto(request.resource());
  if (!resource) {
    return reply(outcome::failure(invalid_field("resource", "is required")));
  }
  mutate(request.header(), fleet::UpdateResource{std::move(*resource)}, caller, reply);
}

void FleetHandlers::remove(const v1::DeleteRequest& request, const Caller& caller,
                           const Reply<v1::MutationResponse>& reply) {
  auto key = from_proto(request.key());
  if (!key) {
    return reply(outcome::failure(invalid_field("key.kind", "is required")));
  }
  mutate(request.header(), fleet::DeleteResource{std::move(*key)}, caller, reply);
}

void FleetHandlers::apply(const v1::ApplyRequest& request, const Caller& caller,
                          const Reply<v1::MutationResponse>& reply) {
  fleet::ApplyResources command;
  command.prune = request.prune();
  for (int i = 0; i < request.resources_size(); ++i) {
    auto resource = from_proto(request.resources(i));
    if (!resource) {
      const std::string field = "resources[" + std::to_string(i) + "]";
      return reply(outcome::failure(invalid_field(field, "is empty")));
    }
    command.resources.push_back(std::move(*resource));
  }
  mutate(request.header(), std::move(command), caller, reply);
}

void FleetHandlers::drain(const v1::DrainRequest& request, const Caller& caller,
                          const Reply<v1::MutationResponse>& reply) {
  set_drained(request, true, caller, reply);
}

void FleetHandlers::undrain(const v1::DrainRequest& request, const Caller& caller,
                            const Reply<v1::MutationResponse>& reply) {
  set_drained(request, false, caller, reply);
}

void FleetHandlers::set_drained(const v1::DrainRequest& request, bool drained, const Caller& caller,
                                const Reply<v1::MutationResponse>& reply) {
  switch (request.target_case()) {
    case v1::DrainRequest::kEngine:
      return mutate(request.header(), fleet::DrainEngine{EngineId(request.engine()), drained},
                    caller, reply);
    case v1::DrainRequest::kServer:
      return mutate(request.header(), fleet::DrainServer{ServerId(request.server()), drained},
                    caller, reply);
    case v1::DrainRequest::TARGET_NOT_SET:
      return reply(outcome::failure(invalid_field("target", "must be an engine or a server")));
  }
}

void FleetHandlers::mutate(const v1::MutationHeader& header, fleet::Command command,
                           const Caller& caller, const Reply<v1::MutationResponse>& reply) {
  const auto document = admin_.document();
  const fleet::Mutation mutation = make_mutation(header, std::move(command), caller, clock_);
  if (header.dry_run()) {
    const auto applied = fleet::apply(*document, mutation);
    if (applied.has_error()) {
      return reply(outcome::failure(to_call_error(applied.error())));
    }
    v1::MutationResponse response;
    add_changes(*document, applied.value(), response);
    response.set_revision(document->revision.value());
    response.set_changed(response.changes_size() > 0);
    return reply(std::move(response));
  }
  v1::MutationResponse response = preview(*document, mutation);
  admin_.mutate(mutation, [reply, response](Result<MutationOutcome, AdminError> result) mutable {
    if (result.has_error()) {
      return reply(outcome::failure(to_call_error(result.error())));
    }
    response.set_revision(result.value().revision.value());
    response.set_repeated_call(result.value().repeated);
    response.set_changed(result.value().changed);
    reply(std::move(response));
  });
}

void FleetHandlers::get(const v1::GetRequest& request, const Caller& /*caller*/,
                        const Reply<v1::GetResponse>& reply) {
  const auto key = from_proto(request.key());
  if (!key) {
    return reply(outcome::failure(invalid_field("key.kind", "is required")));
  }
  const auto document = admin_.document();
  const auto resource = fleet::find_resource(*document, *key);
  if (!resource) {
    const std::string message =
        "there is no " + std::string(to_string(key->kind)) + " '" + key->name + "'";
    return reply(outcome::failure(
        to_call_error(fleet::FleetError{fleet::FleetErrc::kNotFound, message, {}})));
  }
  v1::GetResponse response;
  to_proto(*resource, *response.mutable_resource());
  response.set_revision(document->revision.value());
  reply(std::move(response));
}

void FleetHandlers::list(const v1::ListRequest& request, const Caller& /*caller*/,
                         const Reply<v1::ListResponse>& reply) {
  const auto document = admin_.document();
  const auto resources = resources_of(*document, kind_from_proto_number(request.kind()));
  auto next = resources.begin();
  if (!request.page_token().empty()) {
    const auto last = parse_page_token(request.page_token());
    if (!last) {
      return reply(outcome::failure(invalid_field("page_token", "is not one given before")));
    }
    next = std::find_if(resources.begin(), resources.end(),
                        [&](const auto& resource) { return *last < key_of(resource); });
  }
  const std::uint32_t asked = request.page_size();
  const std::size_t size = asked == 0 || asked > kLargestPage ? kLargestPage : asked;
  v1::ListResponse response;
  response.set_revision(document->revision.value());
  while (next != resources.end() && response.resources_size() < static_cast<int>(size)) {
    to_proto(*next++, *response.add_resources());
  }
  if (next != resources.end()) {
    response.set_next_page_token(page_token(key_of(*std::prev(next))));
  }
  reply(std::move(response));
}

void FleetHandlers::history(const v1::HistoryRequest& request, const Caller& /*caller*/,
                            const Reply<v1::HistoryResponse>& reply) {
  const auto document = admin_.document();
  const auto& recent = document->recent_mutations;
  std::size_t left = request.limit() == 0 ? recent.size() : request.limit();
  v1::HistoryResponse response;
  for (auto entry = recent.rbegin(); entry != recent.rend() && left > 0; ++entry, --left) {
    v1::HistoryEntry& message = *response.add_entries();
    message.set_revision(entry->revision.value());
    message.set_mutation_id(entry->id.value());
    message.set_author(entry->author);
    message.set_wall_milliseconds(entry->wall_milliseconds);
    message.set_summary(entry->summary);
  }
  reply(std::move(response));
}

}  // namespace ochrespring::operator_api
