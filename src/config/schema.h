#ifndef LYCHEEPLANK_SRC_CONFIG_SCHEMA_H
#define LYCHEEPLANK_SRC_CONFIG_SCHEMA_H

#include <vector>

#include "config/reader.h"
#include "lycheeplank/config.h"

// Defines the sections of the document, their fields and the allowed values.
namespace lycheeplank::config {

// Reads the entries of one section, or the values of the limits section.
void
ReadSection(Reader& aReader,
            SectionKind aKind,
            const LocatedNode& aLocated,
            Config& aConfig);

// Checks references between sections, values that must be unique, and values
// that depend on each other. aReaders is in the order of kSections.
void
CheckReferences(const Config& aConfig, std::vector<Reader>& aReaders);

} // namespace lycheeplank::config

#endif
