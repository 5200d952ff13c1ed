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
    std::function<void(StoreAnswer)> onAnswer; ///< called on a thread of the client for each operation, exactly once
    std::function<void(MemberList)> onMembers; ///< called on a thread of the client when the list changed
    unsigned threads { 4 }; ///< operations in progress at once
    Milliseconds timeout { 2000 }; ///< of one operation; afterwards it is Unavailable
    std::size_t maxPending { 4096 }; ///< operations that may wait; beyond it they are Unavailable at once
};

/// Asynchronous client of the platform's table service, object store and membership list.
class PlatformClient {
public:
    explicit PlatformClient(PlatformOptions options);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    void read(StoreRead operation);
    void write(StoreWrite operation);
    void readObject(ObjectRead operation);

    /// Reads the membership list. A failure is silent: the caller reads again at its own pace.
    /// @param since version held; an unchanged list gives no callback
    void readMembers(std::uint64_t since);

private:
    struct State;
    std::unique_ptr<State> state; ///< threads and queue
};

/// Uploads an object synchronously, for hickoryctl.
/// @return true, or the error
Result<bool> putObject(const std::string& platformUrl, const std::string& name, const std::string& content);

/// Uploads weights to the origin synchronously, for hickoryctl.
/// @return true, or the error
Result<bool> putWeights(const std::string& platformUrl, const std::string& name, const std::string& content);

} // namespace hickory
