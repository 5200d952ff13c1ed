#pragma once

#include "error_type.h"
#include "weights_type.h"

#include <string>
#include <string_view>

namespace hickory {

/// Describes a version's bytes.
/// @param model model name
/// @param version model version
/// @param object name under which the bytes are in the weight store
/// @param content all bytes
/// @param chunkSize size of each chunk but the last, above 0
/// @return the manifest with all digests
Manifest buildManifest(const ModelId& model, const ModelVersion& version, const std::string& object,
    std::string_view content, Bytes chunkSize);

/// @param manifest a manifest
/// @return the JSON that is stored; the same manifest always gives the same text
std::string manifestJson(const Manifest& manifest);

/// Parses and checks a stored manifest.
/// @param json content of the object "manifests/{digest}"
/// @return the manifest with its digest set, or Protocol
Result<Manifest> parseManifest(std::string_view json);

/// @param digest digest of a manifest
/// @return name of its object in the object store
std::string manifestObject(const ManifestDigest& digest);

/// @return bytes of all chunks
Bytes manifestSize(const Manifest& manifest);

} // namespace hickory
