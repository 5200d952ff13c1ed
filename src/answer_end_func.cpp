#include "answer_end_func.h"

namespace hickory {

AnswerVerdict judgeAnswer(const AnswerEnd& end)
{
    if (end.transfer == AnswerTransfer::Broken || (end.stream && end.insideEvent))
        return AnswerVerdict::BrokenOff;
    if (end.transfer == AnswerTransfer::Framed || end.checked)
        return AnswerVerdict::Complete;
    return end.stream && !end.hasEvents ? AnswerVerdict::BrokenOff : AnswerVerdict::Unconfirmed;
}

AnswerTransfer completeTransfer(std::uint16_t status, bool hasLength, std::string_view transferEncoding)
{
    constexpr std::uint16_t firstFinal = 200;
    if (status < firstFinal)
        return AnswerTransfer::Broken; // an interim answer says nothing of the answer that was to follow
    constexpr std::uint16_t noContent = 204;
    constexpr std::uint16_t notModified = 304;
    const bool hasNoBody = status == noContent || status == notModified;
    return hasLength || hasNoBody || equalNames(transferEncoding, "chunked") ? AnswerTransfer::Framed
                                                                             : AnswerTransfer::Closed;
}

bool isEventStream(const WireHead& head, bool expected)
{
    constexpr std::string_view eventStream = "text/event-stream";
    const std::string* type = head.find("Content-Type");
    if (!type || type->empty())
        return expected;
    std::string_view name = std::string_view(*type).substr(0, type->find(';'));
    while (name.ends_with(' ') || name.ends_with('\t'))
        name.remove_suffix(1);
    return equalNames(name, eventStream);
}

} // namespace hickory
