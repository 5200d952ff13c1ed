#include "peer_codec_func.h"

#include "peer.capnp.h"
#include "table/crash_news_limits.h"
#include "table/upstream_notice_limits.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace hickory {

namespace {

    void writeEntry(peer::Entry::Builder out, const PeerInfo& entry)
    {
        out.setHost(entry.host.value);
        out.setIncarnation(entry.incarnation.value);
        out.setFront(entry.front);
        out.setControl(entry.control);
        out.setPlace(entry.dataCentre.value);
        out.setReady(entry.ready);
    }

    PeerInfo readEntry(peer::Entry::Reader in)
    {
        PeerInfo entry;
        entry.host = { in.getHost().cStr() };
        entry.incarnation = { in.getIncarnation() };
        entry.front = in.getFront().cStr();
        entry.control = in.getControl().cStr();
        entry.dataCentre = { in.getPlace().cStr() };
        entry.ready = in.getReady();
        entry.ip = entry.control.substr(0, entry.control.rfind(':'));
        return entry;
    }

    std::uint32_t writtenAge(Milliseconds age)
    {
        return static_cast<std::uint32_t>(std::clamp(age, Milliseconds { 0 }, maxNewsAge).value);
    }

    Milliseconds readAge(std::uint32_t age) { return std::min(Milliseconds { age }, maxNewsAge); }

    void writeEngine(peer::Engine::Builder out, const EngineReported& engine)
    {
        out.setAddress(engine.address);
        out.setOrdering(engine.orderPending);
        out.setClearing(engine.clearing);
        out.setSlowdownStated(engine.slowdownStated);
        out.setBusy(engine.report.busy);
        out.setOrders(engine.report.orders);
        out.setWaiting(engine.report.waiting);
        out.setRunning(engine.report.running);
        out.setMemoryUsed(engine.report.kvCacheUsed);
        out.setMemoryTotal(engine.report.kvCacheTotal);
        out.setPace(engine.report.slowdown);
        out.setBornAt(engine.report.processStartedAt);
        out.setAgentStart(engine.order.agentStart.value);
        out.setSequence(engine.order.sequence);
        out.setAgeMs(writtenAge(engine.age));
        auto held = out.initHeld(static_cast<unsigned>(engine.report.models.size()));
        for (unsigned index = 0; index < held.size(); ++index) {
            held[index].setModel(engine.report.models[index].model.value);
            held[index].setVersion(engine.report.models[index].version.value);
            held[index].setWhole(engine.report.models[index].whole);
        }
    }

    EngineReported readEngine(peer::Engine::Reader in)
    {
        EngineReported engine;
        engine.address = in.getAddress().cStr();
        engine.orderPending = in.getOrdering();
        engine.clearing = in.getClearing();
        engine.slowdownStated = in.getSlowdownStated();
        engine.report.busy = in.getBusy();
        engine.report.orders = in.getOrders();
        engine.report.waiting = in.getWaiting();
        engine.report.running = in.getRunning();
        engine.report.kvCacheUsed = in.getMemoryUsed();
        engine.report.kvCacheTotal = in.getMemoryTotal();
        engine.report.slowdown = in.getPace();
        engine.report.processStartedAt = in.getBornAt();
        engine.order = { .agentStart = { in.getAgentStart() }, .sequence = in.getSequence() };
        engine.age = readAge(in.getAgeMs());
        for (const auto held : in.getHeld())
            engine.report.models.push_back(
                { .model = { held.getModel().cStr() }, .version = { held.getVersion() }, .whole = held.getWhole() });
        return engine;
    }

    void writeEngines(capnp::List<peer::Engine>::Builder out, const std::vector<EngineReported>& engines)
    {
        for (unsigned index = 0; index < out.size(); ++index)
            writeEngine(out[index], engines[index]);
    }

    std::vector<EngineReported> readEngines(capnp::List<peer::Engine>::Reader in)
    {
        std::vector<EngineReported> engines;
        for (const auto engine : in)
            engines.push_back(readEngine(engine));
        return engines;
    }

    /// Words of a beacon once it is unpacked: 1 MB, several times a beacon of the largest fleet. Zeros pack to almost
    /// nothing, so that a datagram could otherwise fill the memory of the process that decodes it.
    constexpr std::uint64_t maxBeaconWords = 1U << 17U;

    constexpr unsigned bitsPerByte = 8;

    void writePieces(peer::Pieces::Builder out, const PieceSet& set)
    {
        out.setVersion(set.version.value);
        out.setCount(static_cast<unsigned>(set.held.size()));
        auto bits = out.initBits(static_cast<unsigned>((set.held.size() + bitsPerByte - 1) / bitsPerByte));
        for (std::size_t index = 0; index < set.held.size(); ++index)
            if (set.held[index])
                bits[index / bitsPerByte] |= static_cast<kj::byte>(1U << (index % bitsPerByte));
    }

    PieceSet readPieces(peer::Pieces::Reader in)
    {
        PieceSet set { .version = { in.getVersion() } };
        const auto bits = in.getBits();
        const std::size_t count = std::min<std::size_t>(in.getCount(), bits.size() * bitsPerByte);
        for (std::size_t index = 0; index < count; ++index)
            set.held.push_back((bits[index / bitsPerByte] >> (index % bitsPerByte)) & 1U);
        return set;
    }

    void writeLoads(capnp::List<peer::Load>::Builder out, const std::vector<PeerLoad>& loads)
    {
        for (unsigned index = 0; index < out.size(); ++index) {
            out[index].setUpstream(loads[index].upstream);
            out[index].setSent(loads[index].sent);
            out[index].setUnreadTokens(loads[index].prefillTokens);
        }
    }

    std::vector<PeerLoad> readLoads(capnp::List<peer::Load>::Reader in)
    {
        std::vector<PeerLoad> loads;
        for (const auto load : in)
            loads.push_back(
                { .upstream = load.getUpstream(), .sent = load.getSent(), .prefillTokens = load.getUnreadTokens() });
        return loads;
    }

    void writeDataCentreSummary(peer::Place::Builder out, const DataCentreSummary& summary)
    {
        writeLoads(out.initTotals(static_cast<unsigned>(summary.totals.size())), summary.totals);
        writeEngines(out.initEngines(static_cast<unsigned>(summary.engines.size())), summary.engines);
        auto entries = out.initEntries(static_cast<unsigned>(summary.entries.size()));
        for (unsigned index = 0; index < entries.size(); ++index)
            writeEntry(entries[index], summary.entries[index]);
    }

    DataCentreSummary readDataCentreSummary(peer::Place::Reader in)
    {
        DataCentreSummary summary { .totals = readLoads(in.getTotals()) };
        summary.engines = readEngines(in.getEngines());
        for (const auto entry : in.getEntries())
            summary.entries.push_back(readEntry(entry));
        return summary;
    }

    /// @return number of elements of a list that are encoded or decoded
    template <typename List> unsigned bounded(const List& list, std::size_t limit)
    {
        return static_cast<unsigned>(std::min<std::size_t>(list.size(), limit));
    }

    /// @return number of crashes, from the first, that are within the limits
    unsigned writtenCrashes(const std::vector<CrashReport>& crashes)
    {
        unsigned count = 0;
        std::size_t traits = 0;
        for (; count < bounded(crashes, maxNewsCrashes); ++count) {
            traits += bounded(crashes[count].traits, maxNewsTraitsOfCrash);
            if (traits > maxNewsTraits)
                break;
        }
        return count;
    }

    /// @param out list of at most as many items
    void writeTraits(capnp::List<std::uint64_t>::Builder out, const std::vector<RequestTrait>& traits)
    {
        for (unsigned index = 0; index < out.size(); ++index)
            out.set(index, traits[index].value);
    }

    std::vector<RequestTrait> readTraits(capnp::List<std::uint64_t>::Reader in)
    {
        std::vector<RequestTrait> traits;
        for (unsigned index = 0; index < bounded(in, maxNewsTraitsOfCrash); ++index)
            traits.push_back({ in[index] });
        return traits;
    }

    void writeCrash(peer::Crash::Builder out, const CrashReport& crash)
    {
        out.setCrash(crash.crash.value);
        out.setAgeMs(writtenAge(crash.age));
        writeTraits(out.initTraits(bounded(crash.traits, maxNewsTraitsOfCrash)), crash.traits);
    }

    CrashReport readCrash(peer::Crash::Reader in)
    {
        return { .crash = { in.getCrash() }, .age = readAge(in.getAgeMs()), .traits = readTraits(in.getTraits()) };
    }

    void writeCrashNews(peer::CrashNews::Builder out, const CrashNews& news)
    {
        auto crashes = out.initCrashes(writtenCrashes(news.crashes));
        for (unsigned index = 0; index < crashes.size(); ++index)
            writeCrash(crashes[index], news.crashes[index]);
        std::vector<QuarantineReport> told = news.quarantines;
        std::erase_if(
            told, [](const QuarantineReport& report) { return report.traits.size() > maxNewsTraitsOfQuarantine; });
        auto quarantines = out.initQuarantines(bounded(told, maxNewsQuarantines));
        for (unsigned index = 0; index < quarantines.size(); ++index) {
            const std::vector<RequestTrait>& traits = told[index].traits;
            writeTraits(quarantines[index].initTraits(static_cast<unsigned>(traits.size())), traits);
            quarantines[index].setAgeMs(writtenAge(told[index].age));
            quarantines[index].setCount(told[index].count);
        }
        auto sound = out.initSound(bounded(news.sound, maxNewsSoundTraits));
        for (unsigned index = 0; index < sound.size(); ++index) {
            sound[index].setTrait(news.sound[index].trait.value);
            sound[index].setAgeMs(writtenAge(news.sound[index].age));
        }
    }

    CrashNews readCrashNews(peer::CrashNews::Reader in)
    {
        CrashNews news;
        const auto crashes = in.getCrashes();
        for (unsigned index = 0; index < bounded(crashes, maxNewsCrashes); ++index)
            news.crashes.push_back(readCrash(crashes[index]));
        const auto quarantines = in.getQuarantines();
        for (unsigned index = 0; index < bounded(quarantines, maxNewsQuarantines); ++index) {
            if (quarantines[index].getTraits().size() > maxNewsTraitsOfQuarantine)
                continue;
            news.quarantines.push_back({ .traits = readTraits(quarantines[index].getTraits()),
                .age = readAge(quarantines[index].getAgeMs()),
                .count = std::clamp(quarantines[index].getCount(), 1U, maxNewsQuarantineCount) });
        }
        const auto sound = in.getSound();
        for (unsigned index = 0; index < bounded(sound, maxNewsSoundTraits); ++index)
            news.sound.push_back({ .trait = { sound[index].getTrait() }, .age = readAge(sound[index].getAgeMs()) });
        return news;
    }

    void writeNotices(capnp::List<peer::Notice>::Builder out, const std::vector<UpstreamNoticeReport>& notices)
    {
        for (unsigned index = 0; index < out.size(); ++index) {
            const UpstreamNoticeReport& notice = notices[index];
            out[index].setProcess(notice.process.value);
            out[index].setAgeMs(
                static_cast<std::uint32_t>(std::clamp(notice.age, Milliseconds { 0 }, maxNoticeAge).value));
            out[index].setLimited(notice.requestsPerSecond.has_value());
            out[index].setPerSecond(notice.requestsPerSecond.value_or(0));
            out[index].setLeaving(notice.leaving);
        }
    }

    std::vector<UpstreamNoticeReport> readNotices(capnp::List<peer::Notice>::Reader in)
    {
        std::vector<UpstreamNoticeReport> notices;
        for (unsigned index = 0; index < bounded(in, maxNoticesInBeacon); ++index) {
            UpstreamNoticeReport notice { .process = { in[index].getProcess() },
                .age = std::min(Milliseconds { in[index].getAgeMs() }, maxNoticeAge),
                .leaving = in[index].getLeaving() };
            const double perSecond = in[index].getPerSecond();
            if (in[index].getLimited() && perSecond >= 0 && perSecond <= maxRequestsPerSecond)
                notice.requestsPerSecond = perSecond;
            notices.push_back(notice);
        }
        return notices;
    }

} // namespace

std::string encodeBeacon(const PeerBeacon& beacon)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<peer::Beacon>();
    writeEntry(root.initFrom(), beacon.from);
    root.setConfigVersion(beacon.configVersion.value);
    root.setConfigEra(beacon.configWrittenIn.era);
    root.setConfigEraExact(beacon.configWrittenIn.isExact);
    root.setOperatorsRevision(beacon.operatorTable.revision);
    root.setOperatorsEra(beacon.operatorTable.era);
    writeLoads(root.initLoads(static_cast<unsigned>(beacon.loads.size())), beacon.loads);
    if (beacon.engine)
        writeEngine(root.initEngine(), *beacon.engine);
    if (!beacon.engines.empty())
        writeEngines(root.initEngines(static_cast<unsigned>(beacon.engines.size())), beacon.engines);
    auto known = root.initKnown(static_cast<unsigned>(beacon.known.size()));
    for (unsigned index = 0; index < known.size(); ++index)
        writeEntry(known[index], beacon.known[index]);
    auto pieces = root.initPieces(static_cast<unsigned>(beacon.pieces.size()));
    for (unsigned index = 0; index < pieces.size(); ++index)
        writePieces(pieces[index], beacon.pieces[index]);
    root.setWantsPieces(beacon.wantsPieces);
    if (beacon.dataCentreSummary)
        writeDataCentreSummary(root.initPlace(), *beacon.dataCentreSummary);
    if (!beacon.crashNews.empty())
        writeCrashNews(root.initCrashNews(), beacon.crashNews);
    if (!beacon.notices.empty())
        writeNotices(root.initNotices(bounded(beacon.notices, maxNoticesInBeacon)), beacon.notices);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

Result<PeerBeacon> decodeBeacon(std::string_view bytes)
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader message(in, { .traversalLimitInWords = maxBeaconWords });
        const auto root = message.getRoot<peer::Beacon>();
        PeerBeacon beacon;
        beacon.from = readEntry(root.getFrom());
        beacon.configVersion = { root.getConfigVersion() };
        beacon.configWrittenIn = { .era = root.getConfigEra(), .isExact = root.getConfigEraExact() };
        beacon.operatorTable = { .era = root.getOperatorsEra(), .revision = root.getOperatorsRevision() };
        beacon.loads = readLoads(root.getLoads());
        if (root.hasEngine())
            beacon.engine = readEngine(root.getEngine());
        beacon.engines = readEngines(root.getEngines());
        for (const auto set : root.getPieces())
            beacon.pieces.push_back(readPieces(set));
        beacon.wantsPieces = root.getWantsPieces();
        for (const auto entry : root.getKnown())
            beacon.known.push_back(readEntry(entry));
        if (root.hasPlace())
            beacon.dataCentreSummary = readDataCentreSummary(root.getPlace());
        beacon.crashNews = readCrashNews(root.getCrashNews());
        beacon.notices = readNotices(root.getNotices());
        return beacon;
    } catch (const kj::Exception& problem) {
        return Error { .code = make_error_code(ErrorCode::Protocol),
            .step = "decode-beacon",
            .peer = {},
            .detail = problem.getDescription().cStr() };
    }
}

} // namespace hickory
