#pragma once

#include "error_type.h"
#include "member_type.h"
#include "store_type.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hickory {

/// Options of a PlatformClient.
struct PlatformOptions {
    std::string url; ///< "http://ip:port"
    std::function<void(StoreAnswer)> onAnswer; ///< called once per store operation, on a thread of the client
    std::function<void(MemberList)> onMembers; ///< called when the membership list changed, on a thread of the client
    unsigned threads { 4 }; ///< maximum number of operations in progress
    Milliseconds timeout { 2000 }; ///< time limit of one operation, after which it is answered as Unavailable
    std::size_t maxPending { 4096 }; ///< longest queue; further operations are answered as Unavailable at once
};

/// Asynchronous client of the table service, object store and membership list of this product's own interface, which
/// agents and entries use. The users' platform, which the relay and loader modes use, has another protocol: see the
/// folder platform/. Safe from any thread.
class PlatformClient {
public:
    explicit PlatformClient(PlatformOptions options);
    /// Waits for the operations in progress and answers the queued ones as Unavailable.
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    /// Reads a row of the table service.
    void read(StoreRead operation);
    /// Writes a row of the table service if its version is the expected one.
    void write(StoreWrite operation);
    /// Reads an object of the object store.
    void readObject(ObjectRead operation);

    /// Reads the membership list. A failure is not reported; callers poll periodically.
    /// @param since version that the caller holds; there is no callback when the list is unchanged
    void readMembers(std::uint64_t since);

private:
    struct State;
    std::unique_ptr<State> state; ///< threads and queue of operations
};

/// Uploads an object synchronously, for hickoryctl.
/// @return true, or the error
Result<bool> putObject(const std::string& platformUrl, const std::string& name, const std::string& content);

/// Uploads weights to the origin synchronously, for hickoryctl.
/// @return true, or the error
Result<bool> putWeights(const std::string& platformUrl, const std::string& name, const std::string& content);

} // namespace hickory
