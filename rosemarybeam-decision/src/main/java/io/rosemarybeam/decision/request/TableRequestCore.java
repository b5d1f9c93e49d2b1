package io.rosemarybeam.decision.request;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The request core as a set of systems over shared tables.
 *
 * <p>An input is applied by one system; then expired timers, ejection, shedding and dispatch run. Confined to one
 * thread.
 */
final class TableRequestCore implements RequestCore {
    private final Tables tables;
    private final AdmissionSystem admission;
    private final AttemptSystem attempts;
    private final ClaimSystem claims;
    private final MembershipSystem membership;
    private final ConfigurationSystem configurations;
    private final SheddingSystem shedding;
    private final CrashSystem crashes;
    private final EjectionSystem ejection;
    private final DispatchSystem dispatch;

    TableRequestCore(RequestCoreSettings settings) {
        tables = new Tables(Objects.requireNonNull(settings, "settings"));
        CompletionSystem completion = new CompletionSystem(tables);
        FairShareSystem fairShare = new FairShareSystem(tables);
        crashes = new CrashSystem(tables, completion);
        ejection = new EjectionSystem(tables);
        RetrySystem retry = new RetrySystem(tables, completion, fairShare, crashes);
        attempts = new AttemptSystem(tables, completion, retry, fairShare, crashes, ejection);
        shedding = new SheddingSystem(tables, completion);
        admission = new AdmissionSystem(tables, completion, attempts, shedding, crashes);
        claims = new ClaimSystem(tables, completion, fairShare);
        membership = new MembershipSystem(tables, ejection);
        configurations = new ConfigurationSystem(tables, completion, ejection);
        dispatch =
                new DispatchSystem(tables, new EndpointSelector(tables, crashes), attempts, claims, shedding, crashes);
    }

    @Override
    public List<RequestCommand> handle(long nowMilliseconds, RequestInput input) {
        tables.now = Math.max(tables.now, nowMilliseconds);
        apply(Objects.requireNonNull(input, "input"));
        tables.timers.runDue(tables.now);
        ejection.run();
        shedding.run();
        dispatch.run();
        return tables.takeCommands();
    }

    private void apply(RequestInput input) {
        switch (input) {
            case RequestInput.Tick _ -> {
                // A tick has no effect of its own; handle() runs the expired timers.
            }
            case RequestInput.RequestArrived arrived -> admission.admit(arrived);
            case RequestInput.RequestCancelled cancelled -> admission.cancel(cancelled);
            case RequestInput.ClaimAnswered answered -> claims.handleAnswered(answered);
            case RequestInput.ClaimFailed failed -> claims.handleFailed(failed);
            case RequestInput.AttemptSent sent -> attempts.handleSent(sent);
            case RequestInput.AttemptProgressed progressed -> attempts.handleProgressed(progressed);
            case RequestInput.AttemptCompleted completed -> attempts.handleCompleted(completed);
            case RequestInput.AttemptFailed failed -> attempts.handleFailed(failed);
            case RequestInput.MembershipChanged changed -> membership.apply(changed.delta());
            case RequestInput.LoadReported reported -> membership.applyLoadReport(reported);
            case RequestInput.CacheReported reported -> membership.applyCacheReport(reported);
            case RequestInput.EndpointAvailability availability -> membership.changeAvailability(availability);
            case RequestInput.ConfigurationActivated activated -> configurations.activate(activated.configuration());
            case RequestInput.LeaseRenewed renewed -> configurations.renewLease(renewed);
            case RequestInput.SharesAssigned assigned -> configurations.assignShares(assigned);
            case RequestInput.QuarantineChanged changed -> crashes.handleQuarantineChanged(changed);
            case RequestInput.DrainStarted _ -> tables.draining = true;
        }
    }

    @Override
    public Map<String, Object> dump() {
        return new TableDump(tables).write();
    }

    @Override
    public Map<String, Integer> demandByService() {
        Map<String, Integer> demand = new LinkedHashMap<>();
        tables.services.forEach((name, service) -> demand.put(name.value(), service.requests));
        return demand;
    }
}
