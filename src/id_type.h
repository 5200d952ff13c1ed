#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace hickory {

/// A strongly typed identifier held as text. Values with different tags do not convert into each other.
template <typename Tag> struct TextId {
    std::string value; ///< empty when unset

    auto operator<=>(const TextId&) const = default;
    bool empty() const { return this->value.empty(); }
};

/// A strongly typed identifier or quantity held as a number. Values with different tags do not convert into each other.
template <typename Tag, typename Representation = std::uint64_t> struct NumberId {
    Representation value { 0 };

    constexpr auto operator<=>(const NumberId&) const = default;
};

using HostId = TextId<struct HostTag>; ///< name of a machine in the membership list
using DataCentreId = TextId<struct DataCentreTag>;
using RegionId = TextId<struct RegionTag>; ///< name of a region, a group of data centres
using ServiceId = TextId<struct ServiceTag>; ///< name of a service in the configuration
using WorkspaceId = TextId<struct WorkspaceTag>; ///< name of a workspace, i.e. a tenant
using ModelId = TextId<struct ModelTag>; ///< name of a model, without its version
using ModelVersion = TextId<struct ModelVersionTag>; ///< version of a model
using ManifestDigest = TextId<struct ManifestTag>; ///< BLAKE2b-256 of a manifest, 64 hex digits
using RequestDigest = TextId<struct BodyTag>; ///< BLAKE2b-256 of method, path and body of a request, hex
using ChangeId = TextId<struct ChangeTag>; ///< idempotency key of a configuration change

using RequestId = NumberId<struct RequestTag>; ///< random, unique among the requests in progress in the fleet
using Attempt = NumberId<struct AttemptTag, std::uint32_t>; ///< number of a dispatch of one request, from 1
using Generation = NumberId<struct GenerationTag>; ///< number of an accepted configuration, 0 when there is none
using FencingNumber = NumberId<struct FencingTag>; ///< grows with each agent that starts on a host; 0 when none
/// Identifies one run of a process. A random number; in relay and loader mode the start time in Unix ms, of which a
/// later one supersedes an earlier one.
using Incarnation = NumberId<struct IncarnationTag>;
using RowVersion = NumberId<struct RowVersionTag>; ///< version of a table row, 0 when the row is absent
using RankIndex = NumberId<struct RankTag, std::uint8_t>; ///< position in the configured ranks, 0 is most urgent
using ChunkIndex = NumberId<struct ChunkTag, std::uint32_t>; ///< position of a chunk in its manifest
using Tokens = NumberId<struct TokensTag>; ///< number of model tokens
using Bytes = NumberId<struct BytesTag>; ///< number of bytes, or bytes per second of a rate

} // namespace hickory

template <typename Tag> struct std::hash<hickory::TextId<Tag>> {
    std::size_t operator()(const hickory::TextId<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value);
    }
};

template <typename Tag, typename Representation> struct std::hash<hickory::NumberId<Tag, Representation>> {
    std::size_t operator()(hickory::NumberId<Tag, Representation> id) const noexcept
    {
        return std::hash<Representation> {}(id.value);
    }
};
