package io.rosemarybeam.testbed.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.rosemarybeam.common.configuration.ConfigurationParser;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.WeightVersion;
import io.rosemarybeam.common.wire.ControlReply.ConfigurationText;
import io.rosemarybeam.common.wire.ControlReply.EntryLease;
import io.rosemarybeam.common.wire.ControlReply.EntryState;
import io.rosemarybeam.common.wire.EntryRequest.EndpointRenewal;
import io.rosemarybeam.common.wire.EntryRequest.RenewEntryLease;
import io.rosemarybeam.common.wire.MessageCodec;

/** Measures the size and the processor time of messages and of operator configurations. Confined to one thread. */
final class MessageBenchmark {
    private static final int[] RENEWALS_PER_ENTRY = {0, 3, 10, 50, 100};
    private static final int[] ENDPOINT_COUNTS = {50, 200, 500, 1_000};
    private static final int[] SERVICE_COUNTS = {10, 50, 200, 500};

    /** Endpoints of the target deployment; the fits are extrapolated to this size. */
    private static final int TARGET_REPLICAS = 850;

    /** Services of the target deployment. */
    private static final int TARGET_SERVICES = 40;

    private final List<String> lines = new ArrayList<>();

    List<String> measure() {
        // Discards a first measurement of retained heap, during which memory from the start of the program is still
        // freed.
        ResourceMeter.retainedBytes(() -> BenchmarkData.membership(1, 1));
        measureLeaseRenewal();
        measureLeaseReply();
        measureMembership();
        measureConfigurationText();
        return lines;
    }

    private static RenewEntryLease renewal(int endpoints) {
        List<EndpointRenewal> renewals = new ArrayList<>();
        for (int index = 0; index < endpoints; index++) {
            renewals.add(new EndpointRenewal(EndpointId.of("replica-" + index), 1, Optional.of(WeightVersion.of(7))));
        }
        return new RenewEntryLease(BenchmarkData.entryHost(1), 12, 3, 900, renewals, Map.of("brailler-lm", 20));
    }

    private void measureLeaseRenewal() {
        LinearFit bytes = new LinearFit("lease renewal, bytes", "B", "endpoint renewed");
        LinearFit processor = new LinearFit("lease renewal, encode and decode", "us", "endpoint renewed");
        for (int count : RENEWALS_PER_ENTRY) {
            RenewEntryLease request = renewal(count);
            bytes.add(count, MessageCodec.encode(request).length);
            processor.add(
                    count,
                    ResourceMeter.microsecondsPerRun(
                            () -> MessageCodec.decode(MessageCodec.encode(request), RenewEntryLease.class)));
        }
        lines.add(bytes.render(3));
        lines.add(processor.render(3));
    }

    private void measureLeaseReply() {
        EntryState unchanged =
                new EntryState(3, Optional.empty(), Optional.empty(), Map.of("brailler-lm", 17), List.of(), Map.of());
        lines.add("lease reply without change, bytes: " + MessageCodec.encode(new EntryLease(3_000, unchanged)).length);
    }

    private void measureMembership() {
        LinearFit bytes = new LinearFit("membership, full copy, bytes", "B", "endpoint");
        LinearFit retained = new LinearFit("membership, retained heap", "B", "endpoint");
        LinearFit processor = new LinearFit("membership, encode and decode", "us", "endpoint");
        for (int count : ENDPOINT_COUNTS) {
            EntryState state = new EntryState(
                    3,
                    Optional.empty(),
                    Optional.of(BenchmarkData.membership(count, 0)),
                    Map.of(),
                    List.of(),
                    Map.of());
            EntryLease lease = new EntryLease(3_000, state);
            byte[] encoded = MessageCodec.encode(lease);
            bytes.add(count, encoded.length);
            retained.add(count, ResourceMeter.retainedBytes(() -> MessageCodec.decode(encoded, EntryLease.class)));
            processor.add(
                    count,
                    ResourceMeter.microsecondsPerRun(
                            () -> MessageCodec.decode(MessageCodec.encode(lease), EntryLease.class)));
        }
        lines.add(bytes.render(TARGET_REPLICAS));
        lines.add(retained.render(TARGET_REPLICAS));
        lines.add(processor.render(TARGET_REPLICAS));
    }

    private void measureConfigurationText() {
        LinearFit bytes = new LinearFit("operator text, bytes on the wire", "B", "service");
        LinearFit processor = new LinearFit("operator text, parse and check", "us", "service");
        LinearFit retained = new LinearFit("operator text, retained heap parsed", "B", "service");
        ConfigurationParser parser = ConfigurationParser.standard();
        for (int count : SERVICE_COUNTS) {
            String text = BenchmarkData.configurationText(count);
            bytes.add(count, MessageCodec.encode(new ConfigurationText(1, text)).length);
            processor.add(count, ResourceMeter.microsecondsPerRun(() -> parser.parse(text)));
            retained.add(count, ResourceMeter.retainedBytes(() -> parser.parse(text)));
        }
        lines.add(bytes.render(TARGET_SERVICES));
        lines.add(processor.render(TARGET_SERVICES));
        lines.add(retained.render(TARGET_SERVICES));
    }
}
