#pragma once

#include "error_type.h"
#include "weights_type.h"

#include <string>
#include <string_view>

namespace hickory {

/// Builds the manifest of a model version.
/// @param object name of the weights object in the weight store
/// @param content all bytes of the weights
/// @param chunkSize size of every chunk but the last, above 0
/// @return the manifest with all digests set
Manifest buildManifest(const ModelId& model, const ModelVersion& version, const std::string& object,
    std::string_view content, Bytes chunkSize);

/// Encodes a manifest as it is stored.
/// @return JSON text; equal manifests give equal text, so the digest of the text identifies the manifest
std::string manifestJson(const Manifest& manifest);

/// Parses and checks a stored manifest.
/// @param json content of the object "manifests/{digest}"
/// @return the manifest with its digest set, or Protocol when the text is malformed, sizes and chunks do not fit each
/// other or there are too many chunks
Result<Manifest> parseManifest(std::string_view json);

/// @return name of a manifest's object in the object store
std::string manifestObject(const ManifestDigest& digest);

/// @return sum of the sizes of all chunks
Bytes manifestSize(const Manifest& manifest);

} // namespace hickory
