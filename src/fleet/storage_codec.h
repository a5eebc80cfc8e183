// The fleet document and single mutations as bytes: kept in the key-value service and sent between
// nodes. The bytes name their format version and carry a checksum.
#pragma once

#include <string>
#include <string_view>

#include "fleet/errc.h"
#include "fleet/mutation.h"
#include "fleet/types.h"

namespace ochrespring::fleet {

/// Bytes of a document.
std::string encode_document(const FleetDocument& document);
/// Document from bytes. Errors: kMalformed (damaged or foreign bytes), kUnsupportedFormat (written
/// by a newer program; what is in force must be kept). Rules of validate() are not checked again:
/// what was accepted once stays readable when a later program has stricter rules.
Result<FleetDocument, FleetError> decode_document(std::string_view bytes);

/// Bytes of a mutation.
std::string encode_mutation(const Mutation& mutation);
/// Mutation from bytes; errors as for documents.
Result<Mutation, FleetError> decode_mutation(std::string_view bytes);

}  // namespace ochrespring::fleet
