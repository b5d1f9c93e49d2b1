package io.rosemarybeam.store;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import io.rosemarybeam.decision.routing.EndpointLoads;
import io.rosemarybeam.decision.routing.Route;
import io.rosemarybeam.decision.routing.RoutingTable;
import io.rosemarybeam.forward.Forwarder;
import io.rosemarybeam.platform.EndpointClient;
import io.rosemarybeam.platform.PlatformHeaders;

/**
 * Runs the items of all open submissions while this host leads.
 *
 * <p>Invariants: an item is at one endpoint at a time; an endpoint has at most as many runs as it has slots; a result is
 * shown only after a majority holds it. A new leader goes on from the listed results and kept texts.
 * Confined to the thread of the log's driver.
 */
final class BatchRunner implements ItemStream.Owner {
    /** Silence of a stream after which its connection counts as lost, in milliseconds; a load of weights takes 900. */
    private static final long SILENCE_MILLISECONDS = 1_800;

    /** Silence that is allowed while the endpoint loads weights, in milliseconds. */
    private static final long LOADING_SILENCE_MILLISECONDS = 4_000;

    /** Pause before an item that was not started is tried again, in milliseconds. */
    private static final long RETRY_MILLISECONDS = 50;

    /** Weight of one tick in the moving average of slots; with 50 ms a tick, about the last two steps count. */
    private static final double USAGE_WEIGHT = 0.006;

    /** Rank of items at endpoints, behind everything that customers wait for. */
    private static final int ITEM_PRIORITY = 6;

    private static final EventLog LOG = EventLog.of(BatchRunner.class);

    private final StoreState state;
    private final GenerationFleet fleet;
    private final EndpointLoads loads;
    private final EndpointClient client;
    private final ItemScoring scoring;
    private final Leading leading;
    private final ItemQueue queue = new ItemQueue();
    private final Map<SubmissionId, Map<ItemId, ItemTask>> tasks = new LinkedHashMap<>();
    private final Map<ModelName, Double> usage = new HashMap<>();
    private final Map<String, EndpointId> promptPlaces = new HashMap<>();
    private final TextKeeper texts;

    /** What the runner needs of the leader. */
    interface Leading {
        /** The configuration in force. */
        Optional<RoutingTable> table();

        /** Time of the leader, in milliseconds. */
        long leaderTime();

        /** Keeps what items have generated so far. */
        void keep(SubmissionId submission, List<KeptSubmission.StoredText> texts);

        /** Lists results. */
        void list(SubmissionId submission, List<Submission.Result> results);
    }

    BatchRunner(
            StoreState state,
            GenerationFleet fleet,
            EndpointLoads loads,
            EndpointClient client,
            ItemScoring scoring,
            Leading leading) {
        this.state = state;
        this.fleet = fleet;
        this.loads = loads;
        this.client = client;
        this.scoring = scoring;
        this.leading = leading;
        this.texts = new TextKeeper(state, leading);
        state.submissions().forEach(this::add);
    }

    /** Starts to work on a submission. */
    void add(KeptSubmission kept) {
        Set<String> carriedOver = queue.carriedOver(kept.submission());
        if (kept.isEnded() || kept.isWhole()) {
            return;
        }
        boolean singleVersion = route(kept).map(Route::singleVersion).orElse(false);
        Map<ItemId, ItemTask> added = new LinkedHashMap<>();
        for (Submission.Item item : kept.submission().items()) {
            if (!kept.isListed(item.id())) {
                ItemTask task =
                        new ItemTask(kept, item, model(kept, item), singleVersion, carriedOver.contains(item.group()));
                added.put(item.id(), task);
                texts.restore(task);
                queue.asked(task);
            }
        }
        tasks.put(kept.submission().id(), added);
        List.copyOf(added.values()).stream()
                .filter(task -> task.text.isComplete())
                .forEach(this::score);
    }

    private static ModelName model(KeptSubmission kept, Submission.Item item) {
        String named =
                PlatformHeaders.find(item.headers(), PlatformHeaders.MODEL).orElse("");
        return named.isEmpty() ? kept.submission().model().orElse(ModelName.of("none")) : ModelName.of(named);
    }

    /** Stops the work on a submission that was ended, and keeps what its items have. */
    void end(KeptSubmission kept) {
        Map<ItemId, ItemTask> ended = tasks.remove(kept.submission().id());
        forgetPromptPlaces(kept);
        if (ended != null) {
            ended.values().forEach(task -> {
                cancel(task, "the submission ended");
                texts.ended(task);
            });
        }
    }

    /** Drops the tasks whose results are listed. */
    void listed(KeptSubmission kept) {
        Map<ItemId, ItemTask> open = tasks.get(kept.submission().id());
        if (open != null) {
            open.keySet().removeIf(kept::isListed);
            if (open.isEmpty()) {
                tasks.remove(kept.submission().id());
                forgetPromptPlaces(kept);
            }
        }
    }

    private void forgetPromptPlaces(KeptSubmission kept) {
        String start = kept.submission().id() + " ";
        promptPlaces.keySet().removeIf(prompt -> prompt.startsWith(start));
    }

    /** Ends everything because another host leads from now on. */
    void stop() {
        openTasks().forEach(task -> cancel(task, "another host leads"));
        tasks.clear();
    }

    int openItems() {
        return tasks.values().stream().mapToInt(Map::size).sum();
    }

    int waitingItems() {
        return (int)
                openTasks().filter(task -> task.stage == ItemTask.Stage.WAITING).count();
    }

    private Stream<ItemTask> openTasks() {
        return tasks.values().stream().flatMap(open -> open.values().stream());
    }

    /** The work that trainers have for a model. */
    ModelDemand demand(ModelName model) {
        List<ItemTask> waiting = openTasks()
                .filter(task -> task.stage == ItemTask.Stage.WAITING && task.model.equals(model))
                .toList();
        long oldest = waiting.stream()
                .mapToLong(task -> task.submission.submission().oldestVersion())
                .max()
                .orElse(0);
        long named = state.versions().getOrDefault(model, 0L);
        return new ModelDemand(model, named, oldest, waiting.size(), usage.getOrDefault(model, 0.0));
    }

    /** Follows how many slots, used or wanted, each model has, as a moving average. */
    private void measureUsage() {
        Map<ModelName, Integer> wanted = new HashMap<>();
        openTasks()
                .filter(task -> task.stage == ItemTask.Stage.WAITING || task.stage == ItemTask.Stage.RUNNING)
                .forEach(task -> wanted.merge(task.model, 1, Integer::sum));
        usage.keySet().forEach(model -> wanted.putIfAbsent(model, 0));
        wanted.forEach((model, count) ->
                usage.merge(model, (double) count, (former, next) -> former + USAGE_WEIGHT * (next - former)));
    }

    // Time

    /** Ends silent runs, gives up items that are too old, and starts items. */
    void tick() {
        long now = Forwarder.now();
        openTasks().toList().forEach(task -> check(task, now));
        tasks.forEach((submission, open) -> texts.keep(submission, open.values()));
        measureUsage();
        start(now);
    }

    private void check(ItemTask task, long now) {
        if (task.run.isPresent()) {
            ItemTask.Run run = task.run.get();
            long allowed = fleet.isLoading(run.endpoint) ? LOADING_SILENCE_MILLISECONDS : SILENCE_MILLISECONDS;
            if (now - run.lastEventAt > allowed) {
                run.attempt.cancel();
                fleet.announcement(run.endpoint).ifPresent(endpoint -> client.closeIdle(endpoint.address()));
                ended(task, run, ItemStream.Ending.BROKEN, "silent for " + (now - run.lastEventAt) + " ms");
            }
        }
        long age = leading.leaderTime() - task.submission.acceptedAt();
        boolean isOld = route(task.submission)
                .map(route -> age > route.itemTimeout().toMillis())
                .orElse(false);
        if (isOld && task.stage != ItemTask.Stage.LISTING) {
            giveUp(task, "kept for " + age + " ms");
        }
    }

    private void start(long now) {
        Map<ServiceName, List<GenerationEndpoint>> endpoints = new HashMap<>();
        tasks.values().stream()
                .flatMap(open -> open.values().stream().limit(1))
                .flatMap(task -> route(task.submission).stream())
                .forEach(route -> endpoints.computeIfAbsent(route.serviceAt(0), fleet::endpoints));
        int slots = endpoints.values().stream()
                .flatMap(List::stream)
                .filter(endpoint -> !endpoint.avoided())
                .mapToInt(GenerationEndpoint::capacity)
                .sum();
        List<ItemTask> waiting = queue.order(tasks.values(), this::runTarget, slots, leading.leaderTime(), now);
        for (ItemTask task : waiting) {
            route(task.submission).ifPresent(route -> start(task, route, endpoints, now));
        }
    }

    private long runTarget(KeptSubmission kept) {
        return route(kept).map(route -> route.submissionTarget().toMillis()).orElse(0L);
    }

    private void start(ItemTask task, Route route, Map<ServiceName, List<GenerationEndpoint>> cache, long now) {
        ServiceName service = route.serviceFor(task.item.id().value());
        List<GenerationEndpoint> endpoints = cache.computeIfAbsent(service, fleet::endpoints);
        List<Long> versions = task.text.versions();
        long exact = task.singleVersion && !versions.isEmpty() ? versions.getFirst() : -1;
        String prompt = task.submission.submission().id() + " " + task.item.group();
        ItemPlacement.Requirements need = new ItemPlacement.Requirements(
                task.model,
                task.submission.submission().oldestVersion(),
                exact,
                Optional.ofNullable(promptPlaces.get(prompt)));
        Optional<GenerationEndpoint> chosen = ItemPlacement.choose(need, endpoints);
        if (chosen.isPresent()) {
            promptPlaces.put(prompt, chosen.get().id());
            logStart(task, chosen.get());
            run(task, route, chosen.get().id(), now);
            cache.remove(service);
        }
    }

    // Runs

    private void run(ItemTask task, Route route, EndpointId id, long now) {
        EndpointAnnouncement endpoint = fleet.announcement(id).orElseThrow();
        ItemTask.Run run = new ItemTask.Run(id, now, task.text.lastEvent());
        task.stage = ItemTask.Stage.RUNNING;
        task.run = Optional.of(run);
        loads.recordRequest(id);
        HttpHeaders headers = new DefaultHttpHeaders();
        task.item.headers().forEach(headers::set);
        headers.set(HttpHeaderNames.HOST, route.host());
        headers.set(PlatformHeaders.REQUEST_ID, task.item.id().value());
        headers.set(PlatformHeaders.EXPECTED_ENDPOINT, id.value());
        headers.set(PlatformHeaders.PRIORITY, ITEM_PRIORITY);
        long left = task.submission.acceptedAt() + route.itemTimeout().toMillis() - leading.leaderTime();
        headers.set(PlatformHeaders.DEADLINE, Math.max(1, left));
        if (task.text.lastEvent() > 0) {
            headers.set(PlatformHeaders.LAST_EVENT_ID, task.text.lastEvent());
        }
        run.attempt = client.send(
                new EndpointClient.Request(endpoint.address(), "POST", task.item.path(), headers, task.item.body()),
                new ItemStream(task, run, this));
    }

    private void cancel(ItemTask task, String reason) {
        task.run.ifPresent(run -> log(task, run, "cancelled", reason));
        leave(task);
        task.cancel();
    }

    private void leave(ItemTask task) {
        task.run.ifPresent(run -> loads.recordEnd(run.endpoint));
    }

    private void logStart(ItemTask task, GenerationEndpoint endpoint) {
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
                "after",
                task.text.lastEvent(),
                "expected",
                queue.expected(task),
                "age",
                leading.leaderTime() - task.submission.acceptedAt());
    }

    private void log(ItemTask task, ItemTask.Run run, String outcome, String detail) {
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
        leave(task);
        task.run = Optional.empty();
        long milliseconds = Forwarder.now() - run.startedAt;
        loads.recordAnswer(run.endpoint, milliseconds);
        if (run.startedAfterEvent == 0) {
            queue.finished(task, milliseconds);
        }
        log(task, run, "completed", "");
        score(task);
        start(Forwarder.now());
    }

    @Override
    public void ended(ItemTask task, ItemTask.Run run, ItemStream.Ending ending, String detail) {
        if (task.run.filter(current -> current == run).isEmpty()) {
            return;
        }
        leave(task);
        task.run = Optional.empty();
        task.stage = ItemTask.Stage.WAITING;
        log(task, run, ending.name(), detail);
        long now = Forwarder.now();
        switch (ending) {
            case NOT_EXECUTED, BROKEN -> {
                loads.recordFailure(run.endpoint, now);
                task.notBefore = now + RETRY_MILLISECONDS;
            }
            case FAILED -> {
                task.failedRuns++;
                int most = route(task.submission).map(Route::maximumAttempts).orElse(1);
                if (task.failedRuns >= most) {
                    giveUp(task, task.failedRuns + " failed runs");
                }
            }
            case IMPOSSIBLE -> giveUp(task, "the endpoint says that it can never be done");
            case WRONG_VERSION -> task.notBefore = now;
            default -> throw new IllegalStateException("ending " + ending);
        }
    }

    @Override
    public boolean versionSeen(ItemTask task, ItemTask.Run run, long version) {
        fleet.seen(run.endpoint, task.model, version);
        boolean isFresh = version >= task.submission.submission().oldestVersion();
        List<Long> versions = task.text.versions();
        boolean isOther = task.singleVersion && !versions.isEmpty() && versions.getFirst() != version;
        if (isOther) {
            task.text.clear();
        }
        return isFresh && !isOther;
    }

    @Override
    public void paced(ItemTask.Run run, long milliseconds) {
        fleet.paced(run.endpoint, milliseconds);
    }

    // Results

    private void score(ItemTask task) {
        task.stage = ItemTask.Stage.SCORING;
        if (task.item.scorer().isEmpty()) {
            list(task, true, Optional.empty(), "");
            return;
        }
        scoring.score(task, leading.table(), new ItemScoring.Listener() {
            @Override
            public void scored(String score) {
                list(task, true, Optional.of(score), "");
            }

            @Override
            public void givenUp(String reason) {
                list(task, false, Optional.empty(), reason);
            }
        });
    }

    private void giveUp(ItemTask task, String reason) {
        cancel(task, reason);
        list(task, false, Optional.empty(), reason);
    }

    private void list(ItemTask task, boolean completed, Optional<String> score, String reason) {
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
                leading.leaderTime() - task.submission.acceptedAt());
        byte[] text = completed ? task.text.bytes() : new byte[0];
        List<Long> versions = completed ? task.text.versions() : List.of();
        leading.list(
                task.submission.submission().id(),
                List.of(new Submission.Result(task.item.id(), completed, text, versions, score)));
    }

    private Optional<Route> route(KeptSubmission kept) {
        return leading.table()
                .flatMap(table ->
                        table.find(kept.submission().host(), kept.submission().routePath()));
    }
}
