package io.rosemarybeam.store;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.id.EndpointId;
import io.rosemarybeam.common.id.ItemId;
import io.rosemarybeam.common.id.ModelName;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.id.SubmissionId;
import io.rosemarybeam.common.wire.EndpointAnnouncement;
import io.rosemarybeam.common.wire.Submission;
import io.rosemarybeam.decision.batch.GenerationEndpoint;
import io.rosemarybeam.decision.batch.ItemPlacement;
import io.rosemarybeam.decision.batch.ModelDemand;
import io.rosemarybeam.decision.batch.PlacementRound;
import io.rosemarybeam.decision.batch.StartPacing;
import io.rosemarybeam.decision.batch.WaitReason;
import io.rosemarybeam.decision.routing.EndpointLoads;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.decision.routing.StallDetector;
import io.rosemarybeam.decision.scaling.ReplicaDemand;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.forward.RateLimits;
import io.rosemarybeam.platform.EndpointAnswer;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.PlatformHeaders;
import io.rosemarybeam.platform.WorkspaceHeaders;

/**
 * Runs the items of all open submissions while this host is the leader.
 *
 * <p>Invariants: an item runs at one endpoint at a time; an endpoint has at most as many runs as it has slots; a result
 * becomes visible only after a majority has stored it. A new leader resumes from the listed results and the stored texts.
 * Confined to the thread of the log driver.
 */
final class BatchRunner implements ItemStream.Owner {
    /** Time without events after which a stream counts as broken, in milliseconds; a load of weights takes 900 ms. */
    private static final long STREAM_SILENCE_MILLISECONDS = 1_800;

    /** Like {@link #STREAM_SILENCE_MILLISECONDS}, while the endpoint is loading weights. */
    private static final long LOADING_STREAM_SILENCE_MILLISECONDS = 4_000;

    /** Delay before an item whose run was not started or broke is run again, in milliseconds. */
    private static final long RETRY_DELAY_MILLISECONDS = 50;

    /**
     * Time for which an item waits for an endpoint with the weight or software version that may continue its text, in
     * milliseconds; an endpoint that could not be reached for a moment still has it.
     */
    private static final long SAME_VERSION_WAIT_MILLISECONDS = 1_000;

    /** Delay before an item is considered again after an unexpected failure of this host, in milliseconds. */
    private static final long FAILED_ACTION_DELAY_MILLISECONDS = 1_000;

    /** Interval between ticks, in milliseconds. */
    private static final long TICK_MILLISECONDS = 50;

    /** Weight of one tick in the moving average of slot demand; at 50 ms a tick it covers about two steps of a trainer. */
    private static final double SLOT_DEMAND_WEIGHT = 0.006;

    /** Time after which the reason why an item waits is logged, and interval between two such lines, in milliseconds. */
    private static final long WAIT_REPORT_MILLISECONDS = 2_000;

    /** Priority of items at endpoints, lower than that of all interactive requests. */
    private static final int ITEM_PRIORITY = 6;

    private static final EventLog LOG = EventLog.of(BatchRunner.class);

    private final StoreState state;
    private final GenerationFleet fleet;
    private final EndpointLoads loads;
    private final RateLimits limits;
    private final Consumer<EndpointId> recordSent;
    private final EndpointClient client;
    private final ItemScoring scoring;
    private final SendAuthority authority;
    private final LeaderContext leader;
    private final ItemQueue queue = new ItemQueue();
    private final StartPacing pacing = new StartPacing();
    private final StallDetector stalls = new StallDetector(TICK_MILLISECONDS);

    /** Runs whose connection was being opened when they were started; those that are sent by now are removed when counted. */
    private final Set<ItemTask.Run> opening = new HashSet<>();

    private final Map<SubmissionId, Map<ItemId, ItemTask>> tasks = new LinkedHashMap<>();
    private final Map<ModelName, Double> slotDemand = new HashMap<>();

    /** Endpoint that last ran an item of a group, by submission and group; it has processed the prompt of the group. */
    private final Map<String, EndpointId> endpointByPrompt = new HashMap<>();

    /** The current placement of waiting items at the endpoints of each service; begun anew at each tick. */
    private final Map<ServiceName, PlacementRound> rounds = new HashMap<>();

    /** Routes of submissions in {@link #routedTable}. */
    private final Map<SubmissionId, Optional<Route>> routes = new HashMap<>();

    private Optional<RoutingTable> routedTable = Optional.empty();
    private long lastWaitReport;

    /** Time since when this host has sent no work, because its authority did not allow it. */
    private OptionalLong withheldSince = OptionalLong.empty();

    private final PartialTextStore partialTexts;
    private final ReclaimedRuns reclaimedRuns;

    /** The parts of the leader that the runner uses. */
    interface LeaderContext {
        /** Returns the configuration in use. */
        Optional<RoutingTable> table();

        /** Returns the current leader time, in milliseconds. */
        long leaderTime();

        /** Proposes to store the text that items have generated so far. */
        void storeTexts(SubmissionId submission, List<StoredSubmission.StoredText> texts);

        /** Queues results; each tick proposes the queued results of a submission together. */
        void listResults(SubmissionId submission, List<Submission.Result> results);
    }

    BatchRunner(
            StoreState state,
            GenerationFleet fleet,
            EndpointLoads loads,
            RateLimits limits,
            Consumer<EndpointId> recordSent,
            EndpointClient client,
            ItemScoring scoring,
            SendAuthority authority,
            LeaderContext leader) {
        this.state = state;
        this.fleet = fleet;
        this.loads = loads;
        this.limits = limits;
        this.recordSent = recordSent;
        this.client = client;
        this.scoring = scoring;
        this.authority = authority;
        this.leader = leader;
        this.partialTexts = new PartialTextStore(state, leader);
        this.reclaimedRuns = new ReclaimedRuns(fleet);
        state.submissions().forEach(this::add);
    }

    /**
     * Schedules the items of a submission that are not listed yet. Items that cannot be scheduled are given up: the submission is
     * in the log, so an exception would end this host and each next leader in turn.
     */
    void add(StoredSubmission stored) {
        Map<ItemId, ItemTask> added = new LinkedHashMap<>();
        try {
            Set<String> carriedOver = queue.recordGroups(stored.submission());
            if (stored.isEnded() || stored.isComplete()) {
                return;
            }
            // If the route is absent now, start() reads it when it is back.
            boolean singleVersion = route(stored).map(Route::singleVersion).orElse(false);
            for (Submission.Item item : stored.submission().items()) {
                if (!stored.isListed(item.id())) {
                    addItem(stored, item, singleVersion, carriedOver.contains(item.group()), added);
                }
            }
        } catch (RuntimeException failure) {
            added.clear();
            stored.submission().items().stream()
                    .filter(item -> !stored.isListed(item.id()))
                    .forEach(item -> giveUp(stored, item, failure));
        }
        if (added.isEmpty()) {
            return;
        }
        tasks.put(stored.submission().id(), added);
        long now = Forwarder.now();
        List.copyOf(added.values()).stream()
                .filter(this::mayScoreStoredText)
                .forEach(task -> contain(task, now, () -> score(task)));
    }

    /** A text of several versions waits for the route of its submission, which states whether it may have them. */
    private boolean mayScoreStoredText(ItemTask task) {
        boolean isRouteNeeded = task.text.versions().size() > 1;
        return task.text.isComplete()
                && (!isRouteNeeded || route(task.submission).isPresent());
    }

    private void addItem(
            StoredSubmission stored,
            Submission.Item item,
            boolean singleVersion,
            boolean isCarriedOver,
            Map<ItemId, ItemTask> added) {
        try {
            ItemTask task = new ItemTask(stored, item, model(stored, item), singleVersion, isCarriedOver);
            partialTexts.restore(task);
            queue.recordExpectedTokens(task);
            added.put(item.id(), task);
        } catch (RuntimeException failure) {
            giveUp(stored, item, failure);
        }
    }

    /** Lists an item that has no task as not completed. */
    private void giveUp(StoredSubmission stored, Submission.Item item, RuntimeException failure) {
        SubmissionId submission = stored.submission().id();
        LOG.log(
                Event.HANDLER_FAILED,
                failure,
                "submission",
                submission,
                "request",
                item.id(),
                "message",
                "the item is given up");
        leader.listResults(
                submission, List.of(new Submission.Result(item.id(), false, new byte[0], List.of(), Optional.empty())));
    }

    private static ModelName model(StoredSubmission stored, Submission.Item item) {
        String requested =
                PlatformHeaders.find(item.headers(), PlatformHeaders.MODEL).orElse("");
        return requested.isEmpty() ? stored.submission().model().orElse(ModelName.of("none")) : ModelName.of(requested);
    }

    /** Cancels the items of an ended submission, and retains their texts for a later submission. */
    void end(StoredSubmission stored) {
        Map<ItemId, ItemTask> ended = tasks.remove(stored.submission().id());
        queue.remove(stored);
        removePromptEndpoints(stored);
        if (ended != null) {
            long now = Forwarder.now();
            ended.values()
                    .forEach(task -> contain(task, now, () -> {
                        close(task, "the submission ended");
                        partialTexts.retain(task);
                    }));
        }
    }

    /** Drops the tasks whose results are listed. */
    void listed(StoredSubmission stored) {
        Map<ItemId, ItemTask> open = tasks.get(stored.submission().id());
        if (open != null) {
            long now = Forwarder.now();
            open.values().stream()
                    .filter(task -> stored.isListed(task.item.id()))
                    .forEach(task -> contain(task, now, () -> close(task, "its result is listed")));
            open.keySet().removeIf(stored::isListed);
            if (open.isEmpty()) {
                tasks.remove(stored.submission().id());
                removePromptEndpoints(stored);
            }
        }
    }

    private void removePromptEndpoints(StoredSubmission stored) {
        routes.remove(stored.submission().id());
        String prefix = stored.submission().id() + " ";
        endpointByPrompt.keySet().removeIf(prompt -> prompt.startsWith(prefix));
    }

    /** Cancels all items, because this host is no longer the leader. */
    void stop() {
        openTasks().forEach(task -> close(task, "this host is no longer the leader"));
        tasks.clear();
    }

    /** Returns the number of open items of a submission by stage. */
    Map<ItemTask.Stage, Integer> stages(StoredSubmission stored) {
        Map<ItemTask.Stage, Integer> stages = new EnumMap<>(ItemTask.Stage.class);
        tasks.getOrDefault(stored.submission().id(), Map.of())
                .values()
                .forEach(task -> stages.merge(task.stage, 1, Integer::sum));
        return stages;
    }

    int openItems() {
        return tasks.values().stream().mapToInt(Map::size).sum();
    }

    int waitingItems() {
        return (int)
                openTasks().filter(task -> task.stage == ItemTask.Stage.WAITING).count();
    }

    int waitingScorerCalls() {
        return scoring.waitingCalls();
    }

    private Stream<ItemTask> openTasks() {
        return tasks.values().stream().flatMap(open -> open.values().stream());
    }

    /** Returns how much of a model the open items need. */
    ModelDemand demand(ModelName model) {
        List<ItemTask> waiting = openTasks()
                .filter(task -> task.stage == ItemTask.Stage.WAITING && task.model.equals(model))
                .toList();
        long oldest = waiting.stream()
                .mapToLong(task -> task.submission.submission().oldestVersion())
                .max()
                .orElse(0);
        long published = state.versions().getOrDefault(model, 0L);
        return new ModelDemand(model, published, oldest, waiting.size(), slotDemand.getOrDefault(model, 0.0));
    }

    /**
     * Returns how much of a service the open items need.
     *
     * @param service the service
     * @param bootMilliseconds time until a replica that is ordered now serves
     */
    ReplicaDemand replicaDemand(ServiceName service, long bootMilliseconds) {
        double slots = 0;
        int running = 0;
        for (ItemTask task : openTasks().toList()) {
            boolean isWork = task.stage == ItemTask.Stage.WAITING || task.stage == ItemTask.Stage.RUNNING;
            Optional<Route> route = isWork ? route(task.submission) : Optional.empty();
            if (route.isPresent()
                    && route.get().serviceFor(task.item.id().value()).equals(service)) {
                long due = task.submission.acceptedAt()
                        + route.get().submissionTarget().toMillis();
                slots += ReplicaDemand.slotShare(
                        queue.remainingMilliseconds(task), due - leader.leaderTime(), bootMilliseconds);
                running += task.run.isPresent() ? 1 : 0;
            }
        }
        return new ReplicaDemand(OptionalDouble.of(slots), running);
    }

    /** Updates the moving average of the slots that the items of each model use or wait for. */
    private void updateSlotDemand() {
        Map<ModelName, Integer> wanted = new HashMap<>();
        openTasks()
                .filter(task -> task.stage == ItemTask.Stage.WAITING || task.stage == ItemTask.Stage.RUNNING)
                .forEach(task -> wanted.merge(task.model, 1, Integer::sum));
        slotDemand.keySet().forEach(model -> wanted.putIfAbsent(model, 0));
        wanted.forEach((model, count) -> slotDemand.merge(
                model, (double) count, (former, next) -> former + SLOT_DEMAND_WEIGHT * (next - former)));
    }

    /** Cancels runs whose stream is silent, abandons expired items, stores partial texts, and starts waiting items. */
    void tick() {
        long now = Forwarder.now();
        excuseRuns(stalls.stalledUntil(now));
        reclaimedRuns.beginTurn();
        openTasks().toList().forEach(task -> contain(task, now, () -> checkTimeouts(task, now)));
        tasks.forEach((submission, open) -> partialTexts.checkpoint(submission, open.values()));
        updateSlotDemand();
        startInNewOrder(now);
        scoring.tick();
        if (now - lastWaitReport >= WAIT_REPORT_MILLISECONDS) {
            lastWaitReport = now;
            tasks.values().forEach(open -> reportWaiting(open.values(), now));
        }
    }

    /** Logs one line for a submission whose items have waited for long, with the number of items by reason and by stage. */
    private void reportWaiting(Collection<ItemTask> open, long now) {
        List<ItemTask> waiting = open.stream()
                .filter(task ->
                        task.stage == ItemTask.Stage.WAITING && now - task.waitingSince >= WAIT_REPORT_MILLISECONDS)
                .toList();
        if (waiting.isEmpty()) {
            return;
        }
        Map<WaitReason, Integer> reasons = new EnumMap<>(WaitReason.class);
        waiting.forEach(task -> reasons.merge(waitReason(task, now), 1, Integer::sum));
        Map<ItemTask.Stage, Integer> stages = new EnumMap<>(ItemTask.Stage.class);
        open.forEach(task -> stages.merge(task.stage, 1, Integer::sum));
        ItemTask first = waiting.getFirst();
        LOG.log(
                Event.ITEMS_WAITING,
                "submission",
                first.submission.submission().id(),
                "model",
                first.model,
                "reasons",
                reasons,
                "stages",
                stages,
                "longest",
                waiting.stream()
                        .mapToLong(task -> now - task.waitingSince)
                        .max()
                        .orElse(0),
                "example",
                first.item.id(),
                "oldest",
                first.submission.submission().oldestVersion(),
                "age",
                leader.leaderTime() - first.submission.acceptedAt());
    }

    private WaitReason waitReason(ItemTask task, long now) {
        if (now < task.notBefore) {
            return WaitReason.DELAYED;
        }
        return route(task.submission)
                .map(route -> round(route.serviceFor(task.item.id().value())).waitReason(requirements(task)))
                .orElse(WaitReason.NO_ROUTE);
    }

    /** Postpones the timeouts of all runs after a stall of this host, because what they have sent may not be read yet. */
    private void excuseRuns(long stalledMilliseconds) {
        if (stalledMilliseconds > 0) {
            openTasks().flatMap(task -> task.run.stream()).forEach(run -> run.lastEventAt += stalledMilliseconds);
        }
    }

    private void checkTimeouts(ItemTask task, long now) {
        if (task.run.isPresent()) {
            ItemTask.Run run = task.run.get();
            long allowed =
                    fleet.isLoading(run.endpoint) ? LOADING_STREAM_SILENCE_MILLISECONDS : STREAM_SILENCE_MILLISECONDS;
            if (now - run.lastEventAt > allowed) {
                run.attempt.cancel();
                fleet.announcement(run.endpoint).ifPresent(endpoint -> client.closeIdle(endpoint.address()));
                ended(task, run, ItemStream.Termination.BROKEN, "silent for " + (now - run.lastEventAt) + " ms");
            }
        }
        moveIfReclaimed(task, now);
        long age = leader.leaderTime() - task.submission.acceptedAt();
        boolean isExpired = route(task.submission)
                .map(route -> age > route.itemTimeout().toMillis())
                .orElse(false);
        if (isExpired && task.stage != ItemTask.Stage.LISTING) {
            abandon(task, "not completed within " + age + " ms");
        }
    }

    /** Ends a run whose endpoint is taken away before it can complete; its text is kept and continued at another endpoint. */
    private void moveIfReclaimed(ItemTask task, long now) {
        long remaining = task.run.isPresent() ? queue.remainingMilliseconds(task) : 0;
        task.run.filter(run -> reclaimedRuns.mustMove(run, remaining, now)).ifPresent(run -> {
            run.attempt.cancel();
            ended(task, run, ItemStream.Termination.RECLAIMED, "expected to run " + remaining + " ms more");
        });
    }

    /** Returns whether this host may not send work now, and logs it when that changes. */
    private boolean isWithheld(long now) {
        Optional<SendAuthority.Refusal> refusal = authority.refusal();
        if (refusal.isPresent() != withheldSince.isPresent()) {
            LOG.log(
                    Event.WORK_WITHHELD,
                    "reason",
                    refusal.map(Enum::name).orElse(""),
                    "term",
                    authority.term(),
                    "majorityAge",
                    authority.majorityAge(),
                    "milliseconds",
                    now - withheldSince.orElse(now),
                    "waiting",
                    waitingItems());
            withheldSince = refusal.isPresent() ? OptionalLong.of(now) : OptionalLong.empty();
        }
        return refusal.isPresent();
    }

    /** Orders the waiting items anew, with a new view of the endpoints, and starts those for which there is a slot. */
    private void startInNewOrder(long now) {
        if (isWithheld(now)) {
            return;
        }
        rounds.clear();
        tasks.values().stream()
                .flatMap(open -> open.values().stream().limit(1))
                .flatMap(task -> route(task.submission).stream())
                .forEach(route -> round(route.serviceAt(0)));
        long slots = rounds.values().stream().mapToLong(PlacementRound::slots).sum();
        pacing.beginTurn();
        queue.order(tasks.values(), this::runTarget, slots, leader.leaderTime(), now)
                .forEach(task -> startIfPossible(task, now));
    }

    /** Starts waiting items in the order of the last tick. */
    private void startWhileThereIsRoom(long now) {
        if (isWithheld(now)) {
            return;
        }
        pacing.beginTurn();
        for (ItemTask task : queue.waiting(now)) {
            if (!mayStartAnother() || rounds.values().stream().noneMatch(PlacementRound::hasRoom)) {
                return;
            }
            startIfPossible(task, now);
        }
    }

    private void startIfPossible(ItemTask task, long now) {
        contain(task, now, () -> route(task.submission).ifPresent(route -> start(task, route, now)));
    }

    private boolean mayStartAnother() {
        opening.removeIf(run -> run.attempt.isSent());
        return pacing.mayStart(opening.size());
    }

    private PlacementRound round(ServiceName service) {
        return rounds.computeIfAbsent(service, ignored -> PlacementRound.of(fleet.endpoints(service)));
    }

    /**
     * Runs an action for an item and contains its failure. An item that ended the leader would be resumed by the next one
     * and end all store hosts in turn.
     */
    private static void contain(ItemTask task, long now, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException failure) {
            task.notBefore = now + FAILED_ACTION_DELAY_MILLISECONDS;
            LOG.log(
                    Event.HANDLER_FAILED,
                    failure,
                    "submission",
                    task.submission.submission().id(),
                    "request",
                    task.item.id());
        }
    }

    private long runTarget(StoredSubmission stored) {
        return route(stored).map(route -> route.submissionTarget().toMillis()).orElse(0L);
    }

    private void start(ItemTask task, Route route, long now) {
        task.singleVersion = route.singleVersion();
        if (!task.text.satisfies(task.submission.submission().oldestVersion(), task.singleVersion)) {
            restartText(task);
        }
        if (task.text.isComplete()) {
            score(task);
            return;
        }
        ServiceName service = route.serviceFor(task.item.id().value());
        PlacementRound round = round(service);
        if (task.text.lastEvent() > 0) {
            boolean hasWaited = now - task.waitingSince > SAME_VERSION_WAIT_MILLISECONDS;
            if (round.isTextLost(requirements(task), hasWaited)) {
                restartText(task);
            }
        }
        if (!round.hasRoom() || !mayStartAnother()) {
            return;
        }
        choose(service, round, requirements(task)).ifPresent(chosen -> {
            endpointByPrompt.put(task.prompt, chosen.id());
            startRun(task, route, chosen, now);
            fleet.endpoint(service, chosen.id()).ifPresent(round::recordStart);
        });
    }

    /** Chooses an endpoint and verifies that its current state, which may be newer than the round, still allows it. */
    private Optional<GenerationEndpoint> choose(
            ServiceName service, PlacementRound round, ItemPlacement.Requirements need) {
        Optional<GenerationEndpoint> chosen = round.choose(need);
        while (chosen.isPresent()) {
            EndpointId id = chosen.get().id();
            Optional<GenerationEndpoint> current = fleet.endpoint(service, id);
            if (current.filter(endpoint -> ItemPlacement.canRun(need, endpoint)).isPresent()) {
                return current;
            }
            round.update(id, current);
            chosen = round.choose(need);
        }
        return Optional.empty();
    }

    private ItemPlacement.Requirements requirements(ItemTask task) {
        List<Long> versions = task.text.versions();
        long exactVersion = task.singleVersion && !versions.isEmpty() ? versions.getFirst() : -1;
        return new ItemPlacement.Requirements(
                task.model,
                task.submission.submission().oldestVersion(),
                exactVersion,
                task.text.softwareVersion(),
                Optional.ofNullable(endpointByPrompt.get(task.prompt)));
    }

    /** Discards a partial text that no endpoint can continue or that is none, so that the item runs elsewhere from its start. */
    private static void restartText(ItemTask task) {
        LOG.log(
                Event.ITEM_RESTARTED,
                "submission",
                task.submission.submission().id(),
                "request",
                task.item.id(),
                "events",
                task.text.lastEvent(),
                "versions",
                task.text.versions(),
                "software",
                task.text.softwareVersion().orElse(""));
        task.discardText();
    }

    private void startRun(ItemTask task, Route route, GenerationEndpoint chosen, long now) {
        EndpointId id = chosen.id();
        EndpointAnnouncement endpoint = fleet.announcement(id).orElseThrow();
        ItemTask.Run run = new ItemTask.Run(endpoint, now, task.text.lastEvent());
        try {
            run.attempt = client.send(
                    request(task, route, endpoint), authority.condition(task), new ItemStream(task, run, this));
        } catch (IllegalArgumentException failure) {
            abandon(task, "the item cannot be sent: " + failure.getMessage());
            return;
        }
        pacing.recordStart();
        queue.recordStart(task, now);
        opening.add(run);
        recordSent.accept(id);
        logRunStarted(task, chosen);
        task.stage = ItemTask.Stage.RUNNING;
        task.run = Optional.of(run);
        loads.recordRequest(id);
    }

    private EndpointClient.Request request(ItemTask task, Route route, EndpointAnnouncement endpoint) {
        HttpHeaders headers = new DefaultHttpHeaders();
        task.item.headers().forEach(headers::set);
        task.submission.submission().workspace().ifPresent(name -> WorkspaceHeaders.setName(headers, name));
        headers.set(HttpHeaderNames.HOST, route.host());
        headers.set(PlatformHeaders.REQUEST_ID, task.item.id().value());
        headers.set(PlatformHeaders.EXPECTED_ENDPOINT, endpoint.id().value());
        headers.set(PlatformHeaders.PRIORITY, ITEM_PRIORITY);
        long remaining = task.submission.acceptedAt() + route.itemTimeout().toMillis() - leader.leaderTime();
        headers.set(PlatformHeaders.DEADLINE, Math.max(1, remaining));
        if (task.text.lastEvent() > 0) {
            headers.set(PlatformHeaders.LAST_EVENT_ID, task.text.lastEvent());
        }
        return new EndpointClient.Request(endpoint.address(), "POST", task.item.path(), headers, task.item.body());
    }

    private void cancel(ItemTask task, String reason) {
        task.run.ifPresent(run -> logRunEnded(task, run, "cancelled", reason));
        releaseEndpoint(task);
        task.cancel();
    }

    /** Cancels what is in progress for an item, and forbids what was scheduled for it. */
    private void close(ItemTask task, String reason) {
        try {
            cancel(task, reason);
        } finally {
            task.close();
        }
    }

    private void releaseEndpoint(ItemTask task) {
        task.run.ifPresent(run -> {
            opening.remove(run);
            loads.recordEnd(run.endpoint);
            rounds.forEach((service, round) -> round.update(run.endpoint, fleet.endpoint(service, run.endpoint)));
        });
    }

    private void logRunStarted(ItemTask task, GenerationEndpoint endpoint) {
        LOG.log(
                Event.ITEM_RUN_STARTED,
                "submission",
                task.submission.submission().id(),
                "request",
                task.item.id(),
                "endpoint",
                endpoint.id(),
                "running",
                endpoint.running(),
                "capacity",
                endpoint.capacity(),
                "version",
                endpoint.version(task.model),
                "oldest",
                task.submission.submission().oldestVersion(),
                "software",
                endpoint.softwareVersion(),
                "perSecond",
                limits.find(endpoint.id()).requestsPerSecond(),
                "after",
                task.text.lastEvent(),
                "expected",
                queue.remainingMilliseconds(task),
                "term",
                authority.term(),
                "majorityAge",
                authority.majorityAge(),
                "age",
                leader.leaderTime() - task.submission.acceptedAt());
    }

    private void logRunEnded(ItemTask task, ItemTask.Run run, String outcome, String detail) {
        LOG.log(
                Event.ITEM_RUN_ENDED,
                "submission",
                task.submission.submission().id(),
                "request",
                task.item.id(),
                "endpoint",
                run.endpoint,
                "version",
                run.version,
                "oldest",
                task.submission.submission().oldestVersion(),
                "outcome",
                outcome,
                "detail",
                detail,
                "after",
                run.startedAfterEvent,
                "events",
                task.text.lastEvent(),
                "milliseconds",
                Forwarder.now() - run.startedAt);
    }

    @Override
    public void completed(ItemTask task, ItemTask.Run run) {
        releaseEndpoint(task);
        task.run = Optional.empty();
        long milliseconds = Forwarder.now() - run.startedAt;
        loads.recordAnswer(run.endpoint, milliseconds);
        if (run.startedAfterEvent == 0) {
            queue.recordCompletedRun(task, milliseconds);
        }
        logRunEnded(task, run, "completed", "");
        score(task);
        startWhileThereIsRoom(Forwarder.now());
    }

    @Override
    public void ended(ItemTask task, ItemTask.Run run, ItemStream.Termination termination, String detail) {
        if (task.run.filter(current -> current == run).isEmpty()) {
            return;
        }
        releaseEndpoint(task);
        task.run = Optional.empty();
        task.stage = ItemTask.Stage.WAITING;
        logRunEnded(task, run, termination.name(), detail);
        long now = Forwarder.now();
        task.waitingSince = now;
        switch (termination) {
            case WITHHELD -> task.notBefore = now + RETRY_DELAY_MILLISECONDS;
            case NOT_EXECUTED, BROKEN -> {
                loads.recordFailure(run.endpoint, now);
                task.notBefore = now + RETRY_DELAY_MILLISECONDS;
            }
            case OVERSIZED -> {
                loads.recordFailure(run.endpoint, now);
                task.notBefore = now + RETRY_DELAY_MILLISECONDS;
                restartText(task);
            }
            case FAILED -> {
                task.failedRuns++;
                // Only the route states how many runs may fail; without it the item waits.
                Optional<Route> exhausted =
                        route(task.submission).filter(route -> task.failedRuns >= route.maximumAttempts());
                if (exhausted.isPresent()) {
                    abandon(task, task.failedRuns + " failed runs");
                }
            }
            case IMPOSSIBLE -> abandon(task, "the endpoint rejected the item as unprocessable");
            case WRONG_VERSION, RECLAIMED -> task.notBefore = now;
            default -> throw new IllegalStateException("unexpected termination " + termination);
        }
    }

    @Override
    public void answered(ItemTask.Run run, EndpointAnswer answer) {
        limits.observe(run.endpoint, answer);
        fleet.observe(run.announcement, answer);
    }

    @Override
    public boolean acceptVersion(ItemTask task, ItemTask.Run run, long version) {
        fleet.recordVersion(run.endpoint, task.model, version);
        boolean isFresh = version >= task.submission.submission().oldestVersion();
        List<Long> versions = task.text.versions();
        boolean isDifferent = task.singleVersion && !versions.isEmpty() && versions.getFirst() != version;
        if (isDifferent) {
            task.discardText();
        }
        return isFresh && !isDifferent;
    }

    @Override
    public void eventIntervalMeasured(ItemTask.Run run, long milliseconds) {
        fleet.recordEventInterval(run.endpoint, milliseconds);
    }

    private void score(ItemTask task) {
        task.stage = ItemTask.Stage.SCORING;
        if (task.item.scorer().isEmpty()) {
            listResult(task, true, Optional.empty(), "");
            return;
        }
        scoring.score(task, leader::table, new ItemScoring.Listener() {
            @Override
            public void scored(String score) {
                listResult(task, true, Optional.of(score), "");
            }

            @Override
            public void abandoned(String reason) {
                listResult(task, false, Optional.empty(), reason);
            }
        });
    }

    private void abandon(ItemTask task, String reason) {
        cancel(task, reason);
        listResult(task, false, Optional.empty(), reason);
    }

    private void listResult(ItemTask task, boolean completed, Optional<String> score, String reason) {
        task.stage = ItemTask.Stage.LISTING;
        LOG.log(
                Event.ITEM_LISTED,
                "submission",
                task.submission.submission().id(),
                "request",
                task.item.id(),
                "scorer",
                task.item.scorer().map(Submission.Scorer::id).orElse(""),
                "completed",
                completed,
                "versions",
                task.text.versions(),
                "reason",
                reason,
                "age",
                leader.leaderTime() - task.submission.acceptedAt());
        byte[] text = completed ? task.text.bytes() : new byte[0];
        List<Long> versions = completed ? task.text.versions() : List.of();
        leader.listResults(
                task.submission.submission().id(),
                List.of(new Submission.Result(task.item.id(), completed, text, versions, score)));
    }

    private Optional<Route> route(StoredSubmission stored) {
        Optional<RoutingTable> table = leader.table();
        if (!table.equals(routedTable)) {
            routes.clear();
            routedTable = table;
        }
        return routes.computeIfAbsent(stored.submission().id(), ignored -> findRoute(table, stored.submission()));
    }

    private static Optional<Route> findRoute(Optional<RoutingTable> table, Submission submission) {
        return table.flatMap(current -> current.find(submission.host(), submission.routePath()));
    }
}
