#pragma once

#include "error_type.h"
#include "placement_row_type.h"

#include <string>
#include <string_view>

namespace hickory {

/// @return store key of a service's placement row
std::string placementKey(const ServiceId& service);

/// @return store key of a service's permit row
std::string permitKey(const ServiceId& service);

/// @return stored form of a placement row
std::string placementRowJson(const PlacementRow& row);

/// @return the row, or Protocol when the stored form is malformed
Result<PlacementRow> parsePlacementRow(std::string_view json);

/// @return stored form of a permit row
std::string permitRowJson(const PermitRow& row);

/// @return the row, or Protocol when the stored form is malformed
Result<PermitRow> parsePermitRow(std::string_view json);

/// Compares name, version, manifest, adapters and role.
/// @return true when an engine that runs `left` needs no new load order to run `right`
bool sameTarget(const ModelConfig& left, const ModelConfig& right);

/// @return the engine service (one with a model) of that name, or nullptr
const ServiceConfig* findEngineService(const Config& config, const ServiceId& name);

/// @param hosts sorted
bool containsHost(const std::vector<HostId>& hosts, const HostId& host);

/// Adds a host to a sorted list unless it is there.
void insertHost(std::vector<HostId>& hosts, const HostId& host);

/// Removes a host from a sorted list if it is there.
void eraseHost(std::vector<HostId>& hosts, const HostId& host);

} // namespace hickory
