package io.rosemarybeam.testbed.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.id.AttemptId;
import io.rosemarybeam.common.id.ConfigurationNumber;
import io.rosemarybeam.common.id.Fingerprint;
import io.rosemarybeam.common.id.HostName;
import io.rosemarybeam.common.id.RequestId;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.decision.request.RequestCommand;
import io.rosemarybeam.decision.request.RequestCore;
import io.rosemarybeam.decision.request.RequestCoreSettings;
import io.rosemarybeam.decision.request.RequestInput;
import io.rosemarybeam.decision.request.RequestInput.Precedence;

/** Measures the processor time and memory of the request core of an entry host. Confined to one thread. */
final class DecisionBenchmark {
    private static final int[] ENDPOINT_COUNTS = {10, 50, 200, 1_000};

    /** Endpoints of the target deployment; the fits are extrapolated to this size. */
    private static final int TARGET_REPLICAS = 850;

    private static final int REQUESTS_IN_PROGRESS = 64;
    private static final int EXPECTED_TOKENS = 64;
    private static final int INPUTS_PER_REQUEST = 4;

    /** Expiry of the lease; later than any time that the benchmark reaches. */
    private static final long FAR_FUTURE_MILLISECONDS = 1_000_000_000_000L;

    private static final ServiceName SERVICE = ServiceName.of("brailler-lm");

    private final List<String> lines = new ArrayList<>();

    List<String> measure() {
        LinearFit request = new LinearFit("request core, one request (4 inputs)", "us", "endpoint");
        LinearFit report = new LinearFit("request core, one load report", "us", "endpoint");
        LinearFit tick = new LinearFit("request core, one idle tick", "us", "endpoint");
        LinearFit retained = new LinearFit("request core, retained heap", "B", "endpoint");
        for (int count : ENDPOINT_COUNTS) {
            Driver driver = new Driver(count);
            request.add(count, ResourceMeter.microsecondsPerRun(driver::runRequest));
            report.add(count, ResourceMeter.microsecondsPerRun(driver::reportLoad));
            tick.add(count, ResourceMeter.microsecondsPerRun(driver::tick));
            retained.add(count, ResourceMeter.retainedBytes(() -> new Driver(count)));
        }
        lines.add(request.render(TARGET_REPLICAS));
        lines.add(report.render(TARGET_REPLICAS));
        lines.add(tick.render(TARGET_REPLICAS));
        lines.add(retained.render(TARGET_REPLICAS));
        lines.add("inputs per request in this measurement: " + INPUTS_PER_REQUEST);
        return lines;
    }

    /** Feeds a request core with inputs while the number of running requests stays constant. Confined to one thread. */
    private static final class Driver {
        private final RequestCore core =
                RequestCore.of(RequestCoreSettings.builder(HostName.of("entry-0"), BenchmarkData.failureDomain(0))
                        .seed(1)
                        .build());
        private final int endpoints;
        private final Deque<AttemptId> running = new ArrayDeque<>();
        private long now = 1;
        private long requests;
        private long reports;

        Driver(int endpoints) {
            this.endpoints = endpoints;
            core.handle(now, new RequestInput.ConfigurationActivated(configuration()));
            core.handle(now, new RequestInput.LeaseRenewed(FAR_FUTURE_MILLISECONDS));
            core.handle(now, new RequestInput.SharesAssigned(Map.of(SERVICE, endpoints * 16)));
            core.handle(now, new RequestInput.MembershipChanged(BenchmarkData.membership(endpoints, 1)));
            for (int request = 0; request < REQUESTS_IN_PROGRESS; request++) {
                startRequest();
            }
        }

        private OperatorConfiguration configuration() {
            ServiceConfiguration service = ServiceConfiguration.builder(
                            SERVICE, ServiceConfiguration.ServiceClass.MODEL)
                    .limits(new ServiceConfiguration.Limits(endpoints * 16, 10_000, 1 << 20, 16))
                    .build();
            return new OperatorConfiguration(
                    ConfigurationNumber.of(1), List.of(), Set.of(), Set.of(), Map.of(), Map.of(SERVICE, service));
        }

        private void startRequest() {
            requests++;
            recordStartedAttempts(core.handle(
                    now,
                    new RequestInput.RequestArrived(
                            RequestId.of("request-" + requests),
                            SERVICE,
                            Precedence.CUSTOMER,
                            Optional.empty(),
                            true,
                            Optional.empty(),
                            Fingerprint.of("fingerprint-" + requests),
                            List.of(requests % 97, requests),
                            EXPECTED_TOKENS,
                            now + 30_000,
                            Optional.empty(),
                            Set.of())));
        }

        private void recordStartedAttempts(List<RequestCommand> commands) {
            for (RequestCommand command : commands) {
                if (command instanceof RequestCommand.StartAttempt start) {
                    running.add(start.attempt());
                }
            }
        }

        void runRequest() {
            now++;
            startRequest();
            AttemptId oldest = running.poll();
            if (oldest == null) {
                throw new IllegalStateException("the request core has started no attempt for the pending requests");
            }
            recordStartedAttempts(core.handle(now, new RequestInput.AttemptSent(oldest)));
            recordStartedAttempts(core.handle(
                    now,
                    new RequestInput.AttemptProgressed(
                            oldest, EXPECTED_TOKENS, Optional.of(WeightVersion.of(7)), true)));
            recordStartedAttempts(core.handle(now, new RequestInput.AttemptCompleted(oldest, EXPECTED_TOKENS)));
        }

        void reportLoad() {
            reports++;
            now++;
            int index = (int) (reports % endpoints);
            recordStartedAttempts(core.handle(
                    now,
                    new RequestInput.LoadReported(BenchmarkData.endpoint(index).id(), 1, reports, 3, 0, now)));
        }

        void tick() {
            recordStartedAttempts(core.handle(now, new RequestInput.Tick()));
        }
    }
}
