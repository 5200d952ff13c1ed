#include "ctl_cmd.h"
#include "ctl_file_func.h"
#include "manifest_func.h"
#include "platform_io.h"
#include "program_func.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

    /// Default number of chunks of a model version. Fewer chunks leave hosts too little to exchange among themselves
    /// while they fetch; more chunks make the manifest and the chunk maps larger.
    constexpr std::uint64_t defaultChunkCount = 256;
    constexpr std::uint64_t minChunkBytes = 16U << 10U; ///< lower limit of the derived chunk size
    constexpr std::uint64_t maxChunkBytes = 4U << 20U; ///< upper limit of the derived chunk size

    /// @param size size of the weights in bytes
    /// @return chunk size of --chunk-bytes, else one that is derived from the size
    Bytes chunkSizeFor(const CtlOptions& options, std::size_t size)
    {
        if (options.chunkBytes > 0)
            return { options.chunkBytes };
        return { std::clamp<std::uint64_t>(size / defaultChunkCount, minChunkBytes, maxChunkBytes) };
    }

    CtlResult uploadFailure(const Error& error) { return { .exitCode = exitUnavailable, .message = error.text() }; }

} // namespace

CtlResult runPublish(const CtlOptions& options)
{
    if (options.platform.empty() || options.model.empty() || options.version.empty())
        return { .exitCode = exitUsage, .message = "publish needs --platform, --model and --version" };
    const Result<std::string> content = readWholeFile(options.arguments.at(0));
    if (!content)
        return { .exitCode = exitUsage, .message = content.error().text() };
    if (content.value().empty())
        return { .exitCode = exitUsage, .message = options.arguments.at(0) + " is empty" };
    const std::string object = options.model + "/" + options.version;
    const Manifest manifest = buildManifest(
        { options.model }, { options.version }, object, content.value(), chunkSizeFor(options, content.value().size()));
    // The manifest is uploaded last, so that the weights exist for every host that can read the manifest.
    const Result<bool> weights = putWeights(options.platform, object, content.value());
    if (!weights)
        return uploadFailure(weights.error());
    const Result<bool> stored = putObject(options.platform, manifestObject(manifest.digest), manifestJson(manifest));
    if (!stored)
        return uploadFailure(stored.error());
    if (options.json)
        return { .output = nlohmann::json { { "model", options.model }, { "version", options.version },
                               { "manifest", manifest.digest.value }, { "chunks", manifest.chunks.size() },
                               { "bytes", content.value().size() } }
                               .dump()
                + "\n" };
    return { .output = "published " + options.model + " " + options.version + ", "
            + std::to_string(content.value().size()) + " bytes in " + std::to_string(manifest.chunks.size())
            + " chunks\nmanifest = \"" + manifest.digest.value + "\"\n" };
}

} // namespace hickory
