package io.rosemarybeam.decision.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration.Limits;
import io.rosemarybeam.common.configuration.ServiceConfiguration.ServiceClass;
import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.ConfigurationNumber;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.FailureDomain;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.EndpointRecord;
import io.rosemarybeam.common.wire.MembershipDelta;
import io.rosemarybeam.decision.request.RequestInput.AttemptFailure;

/** A request core at virtual time, with a lease and large shares, and helper methods for its inputs and commands. */
final class CoreFixture {
    static final ServiceName MODEL = ServiceName.of("brailler-lm");
    static final ServiceName PLAIN = ServiceName.of("workshop-app");
    static final FailureDomain LOCAL_DOMAIN = FailureDomain.of("amman-a");

    /** Seed of all tests of the request core, so that runs are reproducible. */
    static final long SEED = 20_261_204;

    /** Concurrent attempts per service; more than the tests start at once. */
    static final int SHARE = 64;

    final RequestCore core;
    long now;

    CoreFixture(RequestPolicy... disabledPolicies) {
        core = RequestCore.of(settings(SEED, disabledPolicies));
        handle(new RequestInput.ConfigurationActivated(configuration(1, limits(8, 256))));
        handle(new RequestInput.LeaseRenewed(Long.MAX_VALUE));
        handle(new RequestInput.SharesAssigned(Map.of(MODEL, SHARE, PLAIN, SHARE)));
    }

    static RequestCoreSettings settings(long seed, RequestPolicy... disabledPolicies) {
        return RequestCoreSettings.builder(HostName.of("entry-1"), LOCAL_DOMAIN)
                .seed(seed)
                .without(disabledPolicies)
                .build();
    }

    static Limits limits(int concurrentPerEndpoint, int maximumQueued) {
        return new Limits(SHARE, maximumQueued, 1_048_576, concurrentPerEndpoint);
    }

    static OperatorConfiguration configuration(long number, Limits limits) {
        return configuration(
                number,
                ServiceConfiguration.builder(MODEL, ServiceClass.MODEL).limits(limits),
                ServiceConfiguration.builder(PLAIN, ServiceClass.PLAIN).limits(limits));
    }

    static OperatorConfiguration configuration(
            long number, ServiceConfiguration.Builder model, ServiceConfiguration.Builder plain) {
        return new OperatorConfiguration(
                ConfigurationNumber.of(number),
                List.of(),
                Set.of(),
                Set.of(),
                Map.of(),
                Map.of(MODEL, model.build(), PLAIN, plain.build()));
    }

    static EndpointRecord endpoint(String id, ServiceName service, int capacity) {
        return endpoint(id, service, capacity, 1, LOCAL_DOMAIN, 7);
    }

    static EndpointRecord endpoint(
            String id, ServiceName service, int capacity, long incarnation, FailureDomain domain, long version) {
        return new EndpointRecord(
                EndpointId.of(id),
                incarnation,
                service,
                "http://127.0.0.1/" + id,
                domain,
                capacity,
                true,
                service.equals(MODEL),
                true,
                false,
                service.equals(MODEL) ? Optional.of(WeightVersion.of(version)) : Optional.empty(),
                false);
    }

    List<RequestCommand> handle(RequestInput input) {
        return core.handle(now, input);
    }

    List<RequestCommand> advance(long milliseconds) {
        List<RequestCommand> commands = new ArrayList<>();
        for (long end = now + milliseconds; now < end; ) {
            now = Math.min(end, now + 10);
            commands.addAll(handle(new RequestInput.Tick()));
        }
        return commands;
    }

    List<RequestCommand> arrive(RequestBuilder request) {
        return handle(request.build());
    }

    List<RequestCommand> updateEndpoints(EndpointRecord... endpoints) {
        return handle(endpointsChanged(endpoints));
    }

    static RequestInput endpointsChanged(EndpointRecord... endpoints) {
        return new RequestInput.MembershipChanged(
                new MembershipDelta(1, 2, List.of(endpoints), List.of(), List.of(), List.of()));
    }

    List<RequestCommand> fail(AttemptId attempt, AttemptFailure failure) {
        return handle(new RequestInput.AttemptFailed(attempt, failure));
    }

    static <T extends RequestCommand> List<T> allOf(Class<T> type, List<RequestCommand> commands) {
        return commands.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static <T extends RequestCommand> T single(Class<T> type, List<RequestCommand> commands) {
        List<T> found = allOf(type, commands);
        if (found.size() != 1) {
            throw new AssertionError("expected exactly one " + type.getSimpleName() + " in " + commands);
        }
        return found.getFirst();
    }
}
