#include "answer_memory_func.h"

#include "table/answer_limits.h"

namespace hickory {

void HeldAnswer::set(std::size_t newBytes)
{
    this->total.held = this->total.held - this->bytes + newBytes;
    this->bytes = newBytes;
}

bool HeldAnswer::mayGoOn() const
{
    return this->bytes <= maxHeldWhenShort || (this->bytes <= maxPlainAnswer && this->total.held <= this->total.limit);
}

} // namespace hickory
