package io.rosemarybeam.entry;

import java.util.List;

import io.rosemarybeam.common.configuration.OperatorConfiguration;
import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.common.error.ErrorCode;
import io.rosemarybeam.common.error.RequestException;
import io.rosemarybeam.common.id.ServiceName;

/** Routes HTTP requests by their paths. Safe for use by several threads. */
final class EntryRoutes implements HttpRoutes {
    private static final long MAXIMUM_ANNOUNCEMENT_BYTES = 262_144;
    private static final long MAXIMUM_STEP_BYTES = 8_388_608;

    private final EntryStateController stateController;
    private final CallerRoutes callers;
    private final EndpointRoutes endpoints;
    private final TrainerRoutes trainers;
    private final EntryMetrics metrics;

    EntryRoutes(
            EntryStateController stateController,
            CallerRoutes callers,
            EndpointRoutes endpoints,
            TrainerRoutes trainers,
            EntryMetrics metrics) {
        this.stateController = stateController;
        this.callers = callers;
        this.endpoints = endpoints;
        this.trainers = trainers;
        this.metrics = metrics;
    }

    @Override
    public long bodyLimit(HttpRequestHead head) {
        List<String> path = head.segments();
        if (path.size() > 2 && path.getFirst().equals("services")) {
            return CallerRoutes.service(stateController.view(), path.get(1))
                    .limits()
                    .maximumBodyBytes();
        }
        if (path.size() < 2 || !path.getFirst().equals("v1")) {
            throw unknownPath(head);
        }
        return switch (path.get(1)) {
            case "addresses" -> 0;
            case "completions" -> largestBodyLimit();
            case "endpoints" -> MAXIMUM_ANNOUNCEMENT_BYTES;
            case "trainers" -> MAXIMUM_STEP_BYTES;
            default -> throw unknownPath(head);
        };
    }

    private long largestBodyLimit() {
        OperatorConfiguration configuration = CallerRoutes.configuration(stateController.view());
        return configuration.services().values().stream()
                .map(ServiceConfiguration::limits)
                .mapToLong(ServiceConfiguration.Limits::maximumBodyBytes)
                .max()
                .orElse(0);
    }

    @Override
    public void handle(HttpCall call) {
        if (stateController.view().draining()) {
            call.closeAfterAnswer();
        }
        HttpRequestHead head = call.head();
        List<String> path = head.segments();
        if (path.getFirst().equals("services")) {
            callers.proxy(call, ServiceName.of(path.get(1)));
            return;
        }
        switch (path.get(1)) {
            case "addresses" -> callers.addresses(call);
            case "completions" -> callers.complete(call);
            case "endpoints" -> endpoints.handle(call, path);
            case "trainers" -> trainers.handle(head.method(), head.uri(), call.body(), false, TrainerReply.of(call));
            default -> throw unknownPath(head);
        }
    }

    @Override
    public void countRefusal(ErrorCode code) {
        metrics.countRefusal(code);
    }

    private static RequestException unknownPath(HttpRequestHead head) {
        return new RequestException(ErrorCode.REQUEST_INVALID, "nothing is served at " + head.path());
    }
}
