#ifndef LYCHEEPLANK_SRC_CONFIG_SCHEMA_H
#define LYCHEEPLANK_SRC_CONFIG_SCHEMA_H

#include <vector>

#include "config/reader.h"
#include "lycheeplank/config.h"

// The sections of the document, their fields and the allowed values.
namespace lycheeplank::config {

// Reads the entries (or, of the limits, the values) of one section.
void
ReadSection(Reader& aReader,
            SectionKind aKind,
            const Place& aPlace,
            Config& aConfig);

// Checks what one section says of another, and names that must be unique.
// The readers are in the order of kSections.
void
CheckReferences(const Config& aConfig, std::vector<Reader>& aReaders);

} // namespace lycheeplank::config

#endif
