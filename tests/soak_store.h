#pragma once

#include "front_io.h"

#include <asio.hpp>
#include <map>
#include <string>
#include <vector>

namespace hickory::soak {

/// Stand-in of the platform's store: the two tables that the system reads, with long questions and history.
class Store {
public:
    /// How it answers.
    enum class Mode : std::uint8_t {
        Up, ///< at once
        Busy, ///< 503
        Silent, ///< not at all
        NoHistory, ///< 410 to questions for changes
    };

    Store(asio::io_context& io, const std::string& address);

    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

    Mode mode { Mode::Up }; ///< fault in force

private:
    struct Row {
        std::string value; ///< bytes
        std::uint64_t revision { 0 }; ///< of the last change
        bool deleted { false }; ///< was removed
    };
    struct Question {
        CallId call; ///< to answer
        std::string table; ///< asked for
        std::uint64_t after { 0 }; ///< revision that the asker has
        Milliseconds until { 0 }; ///< answered then, with or without changes
    };

    void onRequest(FrontRequest&& request);
    void answerChanges(const Question& question);
    void wake();
    void everyWake();
    std::string page(const std::string& table, std::uint64_t after, bool withDeleted) const;

    FrontServer front; ///< server
    asio::steady_timer timer; ///< ends questions
    std::map<std::string, std::map<std::string, Row>> tables; ///< by name and key
    std::vector<Question> questions; ///< held open
    std::uint64_t revision { 0 }; ///< of the last change
};

} // namespace hickory::soak
