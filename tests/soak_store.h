#pragma once

#include "front_io.h"

#include <asio.hpp>
#include <map>
#include <string>
#include <vector>

namespace hickory::soak {

/// Stand-in for the platform's store: serves tables of rows with a change history that is read by long polling.
class Store {
public:
    /// Fault that the store simulates.
    enum class Mode : std::uint8_t {
        Up, ///< no fault
        Busy, ///< every request gets status 503
        Silent, ///< requests are never answered
        NoHistory, ///< polls for changes get status 410, so that readers must fetch the whole table
    };

    /// @param address "ip:port" to listen at; throws std::runtime_error when that fails
    Store(asio::io_context& io, const std::string& address);

    /// Adds or replaces a row and answers the polls that wait for it.
    void put(const std::string& table, const std::string& key, const std::string& value);
    /// Marks a row as deleted; readers see the deletion in the history.
    void remove(const std::string& table, const std::string& key);

    /// Keeps a copy of all tables, to which restore() goes back.
    void keepCopy();
    /// Comes back from the kept copy: what was written since is lost, and its revisions are given out again.
    void restore();
    /// @return keys of the existing rows of a table
    std::vector<std::string> keys(const std::string& table) const;
    /// @return the current revision, which the next change will exceed
    std::uint64_t currentRevision() const { return this->revision; }

    Mode mode { Mode::Up }; ///< set by the fault injector

private:
    /// A row of a table; deleted rows stay as tombstones.
    struct Row {
        std::string value; ///< raw bytes, sent as base64; empty when deleted
        std::uint64_t revision { 0 }; ///< store revision of the last change to this row
        bool deleted { false }; ///< tombstone of a removed row
    };
    /// A long poll that waits for a change.
    struct PendingPoll {
        CallId call; ///< the poll's HTTP request
        std::string table; ///< name of the polled table
        std::uint64_t after { 0 }; ///< answered once a row has a higher revision
        Milliseconds until { 0 }; ///< monotonic time at which it is answered even without changes
    };

    void onRequest(FrontRequest&& request);
    void answerChanges(const PendingPoll& poll);
    void answerDuePolls();
    void onPollTimer();
    std::string rowsJson(const std::string& table, std::uint64_t after, bool withDeleted) const;
    /// Answers a request with status 200 and the store's era.
    void answerRows(CallId call, const std::string& body);

    FrontServer front; ///< HTTP server of the store's interface
    asio::steady_timer timer; ///< checks every 20 ms for polls that are due
    using Tables = std::map<std::string, std::map<std::string, Row>>;

    Tables tables; ///< rows by table name and key
    Tables copy; ///< tables as keepCopy() found them
    std::uint64_t copyRevision { 0 }; ///< revision as keepCopy() found it
    std::uint64_t era { 1 }; ///< rises by one with each restore
    std::vector<PendingPoll> pendingPolls;
    std::uint64_t revision { 0 }; ///< of the last change to any row, 0 before the first
};

} // namespace hickory::soak
