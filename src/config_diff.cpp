#include "config_func.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace hickory {

namespace {

    using Lines = std::vector<std::string>;

    std::string formatNumber(double value)
    {
        std::ostringstream text;
        text << value;
        return text.str();
    }

    std::string join(const auto& items, auto toText)
    {
        std::string text;
        for (const auto& item : items)
            text += (text.empty() ? "" : ", ") + toText(item);
        return text.empty() ? "none" : text;
    }

    std::string kindName(ServiceKind kind) { return kind == ServiceKind::Engine ? "engine" : "plain"; }

    std::string formatReplicas(const ModelConfig& model)
    {
        return std::to_string(model.minReplicas) + " to " + std::to_string(model.maxReplicas) + " replicas";
    }

    std::string formatModel(const ModelConfig& model) { return model.name.value + " " + model.version.value; }

    std::string describe(const ServiceConfig& service)
    {
        std::string text = kindName(service.kind);
        if (service.model)
            text += ", model " + formatModel(*service.model) + ", " + formatReplicas(*service.model);
        return text;
    }

    /// Adds the line "subject: what before -> after" when the values differ.
    void addDifference(Lines& lines, const std::string& subject, const std::string& what, const std::string& before,
        const std::string& after)
    {
        if (before != after)
            lines.push_back(subject + ": " + what + " " + before + " -> " + after);
    }

    void compareModel(Lines& lines, const std::string& subject, const ServiceConfig& before, const ServiceConfig& after)
    {
        if (!before.model || !after.model)
            return;
        const ModelConfig& old = *before.model;
        const ModelConfig& next = *after.model;
        const std::string effect = "; reloads up to " + std::to_string(next.maxReplicas) + " replicas, at most "
            + std::to_string(after.maxUnavailable) + " out of service at once";
        if (formatModel(old) != formatModel(next))
            lines.push_back(subject + ": model " + formatModel(old) + " -> " + formatModel(next) + effect);
        else if (old.manifest != next.manifest)
            lines.push_back(subject + ": manifest of " + formatModel(next) + " " + old.manifest.value.substr(0, 12)
                + " -> " + next.manifest.value.substr(0, 12) + effect);
        const auto identity = [](const std::string& text) { return text; };
        addDifference(lines, subject, "adapters", join(old.adapters, identity), join(next.adapters, identity));
        addDifference(lines, subject, "role", old.role, next.role);
        addDifference(lines, subject, "replicas", formatReplicas(old), formatReplicas(next));
    }

    void compareService(Lines& lines, const ServiceConfig& before, const ServiceConfig& after)
    {
        const std::string subject = "service " + after.name.value;
        const auto serviceName = [](const ServiceId& name) { return name.value; };
        const auto identity = [](const std::string& text) { return text; };
        addDifference(lines, subject, "kind", kindName(before.kind), kindName(after.kind));
        compareModel(lines, subject, before, after);
        addDifference(
            lines, subject, "depends on", join(before.dependsOn, serviceName), join(after.dependsOn, serviceName));
        addDifference(
            lines, subject, "repeatable", before.repeatable ? "true" : "false", after.repeatable ? "true" : "false");
        addDifference(lines, subject, "non-repeatable paths", join(before.nonRepeatable, identity),
            join(after.nonRepeatable, identity));
        const auto fencing
            = [](FencingSupport support) { return support == FencingSupport::Checked ? "checked" : "ignored"; };
        addDifference(lines, subject, "fencing", fencing(before.fencing), fencing(after.fencing));
        addDifference(lines, subject, "slots of each replica", std::to_string(before.concurrency),
            std::to_string(after.concurrency));
        addDifference(lines, subject, "replicas out of service at once", std::to_string(before.maxUnavailable),
            std::to_string(after.maxUnavailable));
        addDifference(lines, subject, "quarantine ms", std::to_string(before.quarantine.value),
            std::to_string(after.quarantine.value));
    }

    void compareServices(Lines& lines, const Config& before, const Config& after)
    {
        for (const ServiceConfig& service : before.services)
            if (!after.findService(service.name))
                lines.push_back("service " + service.name.value + ": removed (" + describe(service) + ")");
        for (const ServiceConfig& service : after.services) {
            if (const ServiceConfig* old = before.findService(service.name))
                compareService(lines, *old, service);
            else
                lines.push_back("service " + service.name.value + ": added (" + describe(service) + ")");
        }
    }

    void compareRanks(Lines& lines, const Config& before, const Config& after)
    {
        const auto rankName = [](const RankConfig& rank) { return rank.name; };
        addDifference(lines, "ranks", "order", join(before.ranks, rankName), join(after.ranks, rankName));
        for (const RankConfig& rank : after.ranks) {
            const std::optional<RankIndex> index = before.findRank(rank.name);
            if (!index)
                continue;
            const RankConfig& old = before.ranks[index->value];
            const std::string subject = "rank " + rank.name;
            addDifference(lines, subject, "first token ms", std::to_string(old.firstTokenTarget.value),
                std::to_string(rank.firstTokenTarget.value));
            addDifference(lines, subject, "between tokens ms", std::to_string(old.betweenTokensTarget.value),
                std::to_string(rank.betweenTokensTarget.value));
            addDifference(lines, subject, "weight", formatNumber(old.weight), formatNumber(rank.weight));
            addDifference(lines, subject, "floor", formatNumber(old.floor), formatNumber(rank.floor));
        }
    }

    void compareWorkspaces(Lines& lines, const Config& before, const Config& after)
    {
        for (const WorkspaceConfig& workspace : before.workspaces)
            if (!after.findWorkspace(workspace.name))
                lines.push_back("workspace " + workspace.name.value + ": removed");
        for (const WorkspaceConfig& workspace : after.workspaces) {
            const std::string subject = "workspace " + workspace.name.value;
            const WorkspaceConfig* old = before.findWorkspace(workspace.name);
            if (!old) {
                lines.push_back(subject + ": added (weight " + formatNumber(workspace.weight) + ")");
                continue;
            }
            addDifference(lines, subject, "weight", formatNumber(old->weight), formatNumber(workspace.weight));
            addDifference(
                lines, subject, "max queued", std::to_string(old->maxQueued), std::to_string(workspace.maxQueued));
        }
    }

} // namespace

std::vector<std::string> diffConfig(const Config& before, const Config& after)
{
    Lines lines;
    compareServices(lines, before, after);
    compareRanks(lines, before, after);
    compareWorkspaces(lines, before, after);
    return lines;
}

} // namespace hickory
