#include "manifest_func.h"

#include "digest_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickory {

namespace {

    /// Bounds the memory of a manifest and its chunk map: at most 64 MB of chunk digests.
    constexpr std::uint64_t maxChunks = 1U << 20U;
    constexpr std::size_t digestLength = 64;

    bool isDigest(const std::string& text)
    {
        return text.size() == digestLength && text.find_first_not_of("0123456789abcdef") == std::string::npos;
    }

    Error malformed(const std::string& detail)
    {
        return { .code = ErrorCode::Protocol, .step = "parse-manifest", .detail = detail };
    }

} // namespace

Manifest buildManifest(const ModelId& model, const ModelVersion& version, const std::string& object,
    std::string_view content, Bytes chunkSize)
{
    Manifest manifest { .model = model, .version = version, .object = object, .chunkSize = chunkSize };
    manifest.totalDigest = digestHex(content);
    for (std::size_t offset = 0; offset < content.size(); offset += chunkSize.value) {
        const std::string_view chunk = content.substr(offset, chunkSize.value);
        manifest.chunks.push_back({ .digest = digestHex(chunk), .size = { chunk.size() } });
    }
    manifest.digest = { digestHex(manifestJson(manifest)) };
    return manifest;
}

std::string manifestJson(const Manifest& manifest)
{
    nlohmann::json digests = nlohmann::json::array();
    for (const ManifestChunk& chunk : manifest.chunks)
        digests.push_back(chunk.digest);
    const nlohmann::json json { { "model", manifest.model.value }, { "version", manifest.version.value },
        { "object", manifest.object }, { "total_digest", manifest.totalDigest },
        { "chunk_size", manifest.chunkSize.value }, { "size", manifestSize(manifest).value }, { "chunks", digests } };
    return json.dump();
}

Result<Manifest> parseManifest(std::string_view text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        Manifest manifest { .digest = { digestHex(text) },
            .model = { json.at("model").get<std::string>() },
            .version = { json.at("version").get<std::string>() },
            .object = json.at("object").get<std::string>(),
            .totalDigest = json.at("total_digest").get<std::string>(),
            .chunkSize = { json.at("chunk_size").get<std::uint64_t>() } };
        const auto size = json.at("size").get<std::uint64_t>();
        const nlohmann::json& digests = json.at("chunks");
        if (manifest.chunkSize.value == 0 || size == 0 || !isDigest(manifest.totalDigest))
            return malformed("size, chunk_size or total_digest is invalid");
        const std::uint64_t count = size / manifest.chunkSize.value + (size % manifest.chunkSize.value ? 1 : 0);
        if (count > maxChunks || digests.size() != count)
            return malformed("number of chunks does not match size and chunk_size, or is too large");
        std::uint64_t remaining = size;
        for (const nlohmann::json& digest : digests) {
            ManifestChunk chunk { .digest = digest.get<std::string>(),
                .size = { std::min(remaining, manifest.chunkSize.value) } };
            if (!isDigest(chunk.digest))
                return malformed("a chunk digest is not 64 lower-case hex digits");
            remaining -= chunk.size.value;
            manifest.chunks.push_back(std::move(chunk));
        }
        return manifest;
    } catch (const nlohmann::json::exception& exception) {
        return malformed(exception.what());
    }
}

std::string manifestObject(const ManifestDigest& digest) { return "manifests/" + digest.value; }

Bytes manifestSize(const Manifest& manifest)
{
    Bytes size;
    for (const ManifestChunk& chunk : manifest.chunks)
        size.value += chunk.size.value;
    return size;
}

} // namespace hickory
