package io.rosemarybeam.control;

import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.rosemarybeam.common.error.ControlException;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.EntryHostRecord;
import io.rosemarybeam.consensus.Member;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.ReplicatedLog;
import io.rosemarybeam.control.state.ControlState;

/** Renders the state of a control process as JSON. Confined to the control executor. */
final class StatusReport {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final LogDriver driver;
    private final ControlState state;

    StatusReport(LogDriver driver, ControlState state) {
        this.driver = driver;
        this.state = state;
    }

    /** Returns the status for operators; it counts endpoints by service, and only the dump lists each of them. */
    String status(Leader leader) {
        ObjectNode root = MAPPER.createObjectNode();
        writeLog(root);
        writeControlHosts(root.putArray("controlHosts"));
        ObjectNode configuration = root.putObject("configuration");
        configuration.put("accepted", state.configurations().newestNumber());
        configuration.put("inForce", leader.pendingEntries().isEmpty());
        ArrayNode pending = configuration.putArray("pendingEntries");
        leader.pendingEntries().forEach(name -> pending.add(name.value()));
        ArrayNode entries = root.putArray("entryHosts");
        state.entryHosts().all().forEach(entry -> writeEntryHost(entries.addObject(), entry, leader));
        writeServices(root.putObject("services"), leader);
        return toJson(root);
    }

    private void writeServices(ObjectNode services, Leader leader) {
        Map<String, Integer> allocated = leader.allocatedShares();
        for (EndpointRecord endpoint : state.endpoints().all()) {
            ObjectNode service = services.withObject("/" + endpoint.service().value());
            service.put("endpoints", service.path("endpoints").asInt() + 1);
            service.put("leaving", service.path("leaving").asInt() + (endpoint.leaving() ? 1 : 0));
            String version =
                    endpoint.weightVersion().map(value -> value.toString()).orElse("none");
            ObjectNode versions = service.withObject("/weightVersions");
            versions.put(version, versions.path(version).asInt() + 1);
            service.put("lentShares", allocated.getOrDefault(endpoint.service().value(), 0));
        }
    }

    /** Returns the complete state of this process, except texts of configurations and prompts, bodies and secrets. */
    String dump(Optional<Leader> leader) {
        ObjectNode root = MAPPER.createObjectNode();
        writeLog(root);
        writeControlHosts(root.putArray("controlHosts"));
        root.put("membershipVersion", state.membershipVersion());
        root.put("leaderTimeMilliseconds", state.leaderTime());
        root.put("configuration", state.configurations().newestNumber());
        root.set("configurationTable", MAPPER.valueToTree(state.configurations().sizes()));
        ArrayNode entries = root.putArray("entryHosts");
        state.entryHosts().all().forEach(entry -> {
            ObjectNode node = entries.addObject();
            node.put("name", entry.name().value());
            node.put("incarnation", entry.incarnation());
            leader.ifPresent(current -> writeEntryHost(node, entry, current));
        });
        ArrayNode endpoints = root.putArray("endpoints");
        state.endpoints().all().forEach(endpoint -> writeEndpoint(endpoints.addObject(), endpoint));
        ArrayNode issuers = root.putArray("issuers");
        state.issuers()
                .all()
                .forEach(issuer -> issuers.addObject()
                        .put("service", issuer.service().value())
                        .put("entry", issuer.entry().value())
                        .put("fencingNumber", issuer.fencingNumber().value()));
        root.put("claims", state.claims().size());
        ArrayNode steps = root.putArray("steps");
        state.steps()
                .summaries()
                .forEach(step -> steps.addObject()
                        .put("trainer", step.trainer().value())
                        .put("step", step.step().value())
                        .put("owner", step.owner().value())
                        .put("ownerEpoch", step.ownerEpoch())
                        .put("samples", step.samples())
                        .put("finished", step.finished()));
        ArrayNode quarantined = root.putArray("quarantined");
        state.quarantine().quarantinedSince(0).forEach(quarantined::add);
        leader.ifPresent(current -> root.set("lentShares", MAPPER.valueToTree(current.allocatedShares())));
        return toJson(root);
    }

    private void writeLog(ObjectNode root) {
        ReplicatedLog log = driver.log();
        root.put("name", log.self().name());
        root.put("role", log.role().name());
        root.put("leader", log.leader().map(MemberId::name).orElse(""));
        root.put("term", log.term());
        root.put("lastIndex", log.lastIndex());
        root.put("committed", log.commitIndex());
        root.put("applied", driver.applied());
    }

    private void writeControlHosts(ArrayNode hosts) {
        ReplicatedLog log = driver.log();
        for (Member member : log.membership().members()) {
            ObjectNode host = hosts.addObject();
            host.put("name", member.id().name());
            host.put("incarnation", Long.toHexString(member.id().incarnation()));
            host.put("address", member.address());
            host.put("voter", log.membership().isVoter(member.id()));
            log.matchIndex(member.id()).ifPresent(match -> {
                host.put("match", match);
                host.put("active", log.isActive(member.id()));
            });
        }
    }

    private static void writeEntryHost(ObjectNode node, EntryHostRecord entry, Leader leader) {
        node.put("name", entry.name().value());
        node.put("failureDomain", entry.failureDomain().value());
        node.put("callerAddress", entry.callerAddress());
        node.put("draining", entry.draining());
        node.put("leased", leader.isLive(entry));
        node.put("appliedRevision", leader.appliedRevision(entry));
    }

    private static void writeEndpoint(ObjectNode node, EndpointRecord endpoint) {
        node.put("id", endpoint.id().value());
        node.put("incarnation", endpoint.incarnation());
        node.put("service", endpoint.service().value());
        node.put("address", endpoint.address());
        node.put("failureDomain", endpoint.failureDomain().value());
        endpoint.weightVersion().ifPresent(version -> node.put("weightVersion", version.value()));
        node.put("leaving", endpoint.leaving());
    }

    private static String toJson(ObjectNode root) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(root);
        } catch (JsonProcessingException failure) {
            throw new ControlException(ErrorCode.INTERNAL, "the state cannot be written as JSON", failure);
        }
    }
}
