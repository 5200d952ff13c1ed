#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace hickory {

/// An identifier held as text. Values with different tags do not convert into each other.
template <typename Tag> struct TextId {
    std::string value; ///< the text, empty when unset

    auto operator<=>(const TextId&) const = default;
    bool empty() const { return this->value.empty(); }
};

/// An identifier or unit held as a number. Values with different tags do not convert into each other.
template <typename Tag, typename Representation = std::uint64_t> struct NumberId {
    Representation value { 0 }; ///< the number

    constexpr auto operator<=>(const NumberId&) const = default;
};

using HostId = TextId<struct HostTag>; ///< a machine
using DataCentreId = TextId<struct DataCentreTag>; ///< a data centre
using RegionId = TextId<struct RegionTag>; ///< a group of places
using ServiceId = TextId<struct ServiceTag>; ///< a service of the operators' text
using WorkspaceId = TextId<struct WorkspaceTag>; ///< a tenant
using ModelId = TextId<struct ModelTag>; ///< a model's name
using ModelVersion = TextId<struct ModelVersionTag>; ///< a model's version
using ManifestDigest = TextId<struct ManifestTag>; ///< BLAKE2b-256 of a manifest, 64 hex digits
using BodyDigest = TextId<struct BodyTag>; ///< BLAKE2b-256 of method, path and body of a request, hex
using ChangeId = TextId<struct ChangeTag>; ///< one attempt of an operator to change the configuration

using RequestId = NumberId<struct RequestTag>; ///< random, unique among live requests of the fleet
using Attempt = NumberId<struct AttemptTag, std::uint32_t>; ///< counts dispatches of one request from 1
using Generation = NumberId<struct GenerationTag>; ///< number of an accepted configuration, 0 when none
using FencingNumber = NumberId<struct FencingTag>; ///< rises with each agent of a host
using Incarnation = NumberId<struct IncarnationTag>; ///< random, one for each life of a process
using RowVersion = NumberId<struct RowVersionTag>; ///< version of a table row, 0 when absent
using RankIndex = NumberId<struct RankTag, std::uint8_t>; ///< position in the text, 0 is most urgent
using ChunkIndex = NumberId<struct ChunkTag, std::uint32_t>; ///< position of a chunk in its manifest
using Tokens = NumberId<struct TokensTag>; ///< count of model tokens
using Bytes = NumberId<struct BytesTag>; ///< count of bytes

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
