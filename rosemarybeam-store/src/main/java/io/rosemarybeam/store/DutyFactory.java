package io.rosemarybeam.store;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.rosemarybeam.common.settings.ProviderSettings;
import io.rosemarybeam.common.settings.StoreSettings;
import io.rosemarybeam.decision.routing.EndpointDirectory;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.ProviderDuty;

/**
 * Creates what a new leader does for the provider, from the settings of its host. Immutable; confined to the thread of the log
 * driver.
 *
 * @param settings settings of the host; without a provider there are no duties
 * @param client sends calls to the provider
 * @param directory the announced endpoints
 * @param state the applied state
 * @param confirmLeadership completes when a majority has confirmed that this host leads
 * @param membersUnderstand whether all members of the log apply the commands of the duties
 * @param metrics metrics of calls and reports
 */
record DutyFactory(
        StoreSettings settings,
        EndpointClient client,
        EndpointDirectory directory,
        StoreState state,
        Supplier<CompletableFuture<Void>> confirmLeadership,
        BooleanSupplier membersUnderstand,
        ProviderMetrics metrics) {
    /** Gives a new leader its duties, if the settings name a provider. */
    void assign(StoreLeader leader, SendAuthority authority) {
        settings.provider().ifPresent(provider -> assign(provider, leader, authority));
    }

    private void assign(ProviderSettings provider, StoreLeader leader, SendAuthority authority) {
        long now = Forwarder.now();
        ProviderCalls.Options options = new ProviderCalls.Options(
                provider.address(),
                settings.name().value(),
                provider.callsPerSecond(),
                settings.endpointsCheckFencing(),
                now + settings.orderLease().toMillis());
        ProviderCalls calls = new ProviderCalls(client, options, authority, confirmLeadership, metrics);
        Set<ProviderDuty> duties = ProviderDuty.decode(provider.duties());
        leader.take(new LeaderDuties(calls, usageReports(provider, duties, leader, calls, now)));
        leader.orderReplicas(proposer -> new ReplicaOrders(
                duties.contains(ProviderDuty.REPLICA_ORDERS),
                directory,
                state,
                membersUnderstand,
                proposer,
                calls::send));
    }

    private Optional<UsageReports> usageReports(
            ProviderSettings provider, Set<ProviderDuty> duties, StoreLeader leader, ProviderCalls calls, long now) {
        if (!duties.contains(ProviderDuty.USAGE_REPORTS)) {
            return Optional.empty();
        }
        return Optional.of(new UsageReports(
                settings.name().value(),
                provider.usageWindow().toMillis(),
                now,
                state,
                membersUnderstand,
                leader::propose,
                calls,
                metrics));
    }
}
