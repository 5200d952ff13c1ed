#pragma once

#include "error_type.h"
#include "relay_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickory {

/// What is known of a deployment besides its configuration document.
struct ConfigSurroundings {
    std::set<RegionId> regions; ///< that exist; empty when not known, then names of regions are not checked
    std::map<DataCentreId, RegionId> dataCentres; ///< region of each; empty when not known
    std::optional<std::vector<UpstreamEntry>> upstreams; ///< listed upstreams; empty when not known
};

/// A document that entries can read, and its findings.
struct ConfigCheck {
    RelayConfig config; ///< as entries decode it
    std::vector<std::string> findings; ///< one line each: place, field and reason; keys are shortened
};

/// Decodes a configuration document as entries do. Unlike decodeConfig(), the error names each unreadable row and
/// never quotes the document, which holds API keys.
/// @param text JSON
/// @return the configuration, or a Protocol error whose detail has a line for each place that cannot be read
Result<RelayConfig> readConfigDocument(const std::string& text);

/// Checks a configuration document of the platform.
/// @param text JSON
/// @param surroundings checks that need an unknown part of it are left out
/// @return the configuration with its findings, or the error of readConfigDocument()
Result<ConfigCheck> checkConfigDocument(const std::string& text, const ConfigSurroundings& surroundings);

/// Parses the regions of a deployment.
/// @param list names separated by commas, each REGION or DATA-CENTRE=REGION
ConfigSurroundings parseRegions(const std::string& list);

/// Decodes a list of upstream rows.
/// @param text JSON object with a row of the table of upstreams for each id
/// @return the upstreams, or a Protocol error that names the first row that entries would ignore
Result<std::vector<UpstreamEntry>> readUpstreamRows(const std::string& text);

/// @return the first characters of an API key, at most four and at most half of it
std::string shortenKey(const std::string& key);

} // namespace hickory
