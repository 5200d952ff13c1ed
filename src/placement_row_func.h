#pragma once

#include "error_type.h"
#include "placement_row_type.h"

#include <string>
#include <string_view>

namespace hickory {

/// @return key of a service's placement row
std::string placementKey(const ServiceId& service);

/// @return key of a service's permit row
std::string permitKey(const ServiceId& service);

std::string placementRowJson(const PlacementRow& row);

/// @return the row, or Protocol
Result<PlacementRow> parsePlacementRow(std::string_view json);

std::string permitRowJson(const PermitRow& row);

/// @return the row, or Protocol
Result<PermitRow> parsePermitRow(std::string_view json);

/// @return true when an engine that runs `left` needs no new order to run `right`
bool sameTarget(const ModelConfig& left, const ModelConfig& right);

/// @return the engine service with that name, or nullptr
const ServiceConfig* findEngineService(const Config& config, const ServiceId& name);

/// @param hosts sorted hosts
bool containsHost(const std::vector<HostId>& hosts, const HostId& host);

/// Adds a host to a sorted list.
void insertHost(std::vector<HostId>& hosts, const HostId& host);

/// Removes a host from a sorted list.
void eraseHost(std::vector<HostId>& hosts, const HostId& host);

} // namespace hickory
