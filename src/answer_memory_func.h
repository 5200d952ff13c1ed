#pragma once

#include "table/answer_limits.h"

#include <cstddef>

namespace hickory {

/// What the unfinished answers of a process hold in memory.
struct AnswerMemory {
    std::size_t held { 0 }; ///< bytes of all answers
    std::size_t limit { maxHeldAnswers }; ///< bytes above which large answers are broken off; see answerBudget()
};

/// Bytes of one unfinished answer. Counts them in an AnswerMemory for as long as it exists.
class HeldAnswer {
public:
    /// @param total must outlive this
    explicit HeldAnswer(AnswerMemory& total)
        : total(total)
    {
    }
    ~HeldAnswer() { this->set(0); }
    HeldAnswer(const HeldAnswer&) = delete;
    HeldAnswer& operator=(const HeldAnswer&) = delete;

    /// Changes the number of bytes that the answer holds.
    void set(std::size_t bytes);
    /// @return whether the answer may go on: it is not too large, and while all together hold too much it is small.
    /// Faulty upstreams that send without end must not cost the answers of the others.
    bool mayGoOn() const;

private:
    AnswerMemory& total;
    std::size_t bytes { 0 }; ///< of this answer
};

} // namespace hickory
