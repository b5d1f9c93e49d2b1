package io.rosemarybeam.store;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.rosemarybeam.common.event.Event;
import io.rosemarybeam.common.event.EventLog;
import io.rosemarybeam.common.settings.StoreSettings;
import io.rosemarybeam.common.wire.StoreMessage.StoreStatus;
import io.rosemarybeam.consensus.Member;
import io.rosemarybeam.consensus.MemberId;
import io.rosemarybeam.consensus.MembershipChange;
import io.rosemarybeam.consensus.ReplicatedLog;
import io.rosemarybeam.control.LogDriver;

/**
 * Tracks the other store hosts: last contact, membership of the log, and retirement.
 *
 * <p>Invariant: a member is identified by its IP number and the incarnation of its data folder, so a host that has lost its
 * disk is a different member. Confined to the event loop of the store.
 */
final class StoreMembers implements StoreLeader.Retirements {
    /** Time without contact after which a voter is replaced by a learner, in milliseconds; two elections. */
    private static final long SILENCE_TIMEOUT_MILLISECONDS = 2_000;

    /** Time without contact after which a learner is removed, in milliseconds; longer than usual machine suspensions. */
    private static final long LEARNER_REMOVAL_MILLISECONDS = 10_000;

    private static final EventLog LOG = EventLog.of(StoreMembers.class);

    private final StoreSettings settings;
    private final MemberId self;
    private final LogDriver driver;
    private final StoreState state;
    private final Map<String, PeerContact> contactByHost = new HashMap<>();

    StoreMembers(StoreSettings settings, MemberId self, LogDriver driver, StoreState state) {
        this.settings = settings;
        this.self = self;
        this.driver = driver;
        this.state = state;
    }

    /** A store host and the monotonic time of the last contact, in milliseconds. Immutable. */
    private record PeerContact(String name, Member member, long lastContactAt, boolean collectsUsage) {}

    String addressOf(String host) {
        return host + ":" + settings.stores().port();
    }

    void receive(StoreStatus status, long now) {
        String host = status.address().substring(0, status.address().lastIndexOf(':'));
        Member member = new Member(new MemberId(host, status.incarnation()), status.address());
        if (!member.id().equals(self)) {
            contactByHost.put(host, new PeerContact(status.host(), member, now, status.collectsUsage()));
        }
    }

    /** Returns whether every member of the log has said that it knows the commands of reports of use and replica orders. */
    boolean allCollectUsage() {
        return driver.log().membership().members().stream().map(Member::id).allMatch(this::collectsUsage);
    }

    private boolean collectsUsage(MemberId id) {
        PeerContact contact = contactByHost.get(id.name());
        boolean isSaid = contact != null && contact.member.id().equals(id) && contact.collectsUsage;
        return id.equals(self) || isSaid;
    }

    /** Returns the addresses of the other hosts by IP number: seeds, members of the log, and hosts with recent contact. */
    Map<String, String> peers(Collection<String> seeds, long now) {
        Set<String> hosts = new HashSet<>(seeds);
        driver.log()
                .membership()
                .members()
                .forEach(member -> hosts.add(member.id().name()));
        contactByHost.values().stream()
                .filter(contact -> now - contact.lastContactAt < SILENCE_TIMEOUT_MILLISECONDS)
                .forEach(contact -> hosts.add(contact.member.id().name()));
        return hosts.stream()
                .filter(host -> !host.equals(self.name()))
                .collect(Collectors.toMap(host -> host, this::addressOf));
    }

    /** Returns the voter that leadership is handed over to when this host stops or is retired. */
    Optional<MemberId> successor() {
        Set<String> retiring = retiringHosts();
        return driver.log().successor(id -> !retiring.contains(id.name()));
    }

    /**
     * Proposes the next membership change, or hands leadership over if this host is retired. Called while this host leads.
     */
    void proposeNextChange(long now, boolean logsLearners) {
        ReplicatedLog log = driver.log();
        publishHostNames();
        Set<String> retiring = retiringHosts();
        if (retiring.contains(self.name()) && log.hasCommittedInTerm()) {
            successor().ifPresent(driver::transferLeadership);
            return;
        }
        Map<String, MemberPlan.ObservedHost> observed = new HashMap<>();
        contactByHost.forEach((host, contact) ->
                observed.put(host, new MemberPlan.ObservedHost(contact.member, now - contact.lastContactAt)));
        MemberPlan.Input input = new MemberPlan.Input(
                targetVoters(), observed, retiring, SILENCE_TIMEOUT_MILLISECONDS, LEARNER_REMOVAL_MILLISECONDS);
        Optional<MembershipChange> change = MemberPlan.next(log, input);
        if (logsLearners) {
            logLearners(log);
        }
        change.ifPresent(next -> {
            LOG.log(Event.CONTROL_HOSTS_CHANGING, "change", next, "term", log.term());
            driver.proposeChange(next);
        });
    }

    private int targetVoters() {
        return 2 * settings.toleratedLosses() + 1;
    }

    private static void logLearners(ReplicatedLog log) {
        log.membership().learners().stream()
                .map(Member::id)
                .filter(id -> !log.isCaughtUp(id))
                .forEach(id -> LOG.log(
                        Event.LEARNER_BEHIND,
                        "member",
                        id,
                        "holds",
                        log.matchIndex(id).orElse(0L),
                        "committed",
                        log.commitIndex(),
                        "active",
                        log.isActive(id)));
    }

    /** Operators refer to hosts by name, also to hosts that are down, so the log stores the names. */
    private void publishHostNames() {
        Map<String, String> names = new HashMap<>();
        names.put(settings.name().value(), self.name());
        contactByHost
                .values()
                .forEach(contact -> names.put(contact.name, contact.member.id().name()));
        names.forEach((name, host) -> {
            if (!host.equals(state.hostByName().get(name))) {
                driver.propose(StoreCommand.encode(state.lastLeaderTime(), new StoreCommand.NameHost(name, host)));
            }
        });
    }

    private Set<String> retiringHosts() {
        return state.retiring().stream()
                .map(name -> state.hostByName().getOrDefault(name, ""))
                .collect(Collectors.toSet());
    }

    @Override
    public boolean isKnown(String name) {
        return state.hostByName().containsKey(name);
    }

    @Override
    public boolean isAllowed(String name) {
        Set<String> retiring = retiringHosts();
        retiring.add(state.hostByName().get(name));
        long remaining = driver.log().membership().members().stream()
                .map(Member::id)
                .filter(id -> !retiring.contains(id.name()))
                .filter(id -> id.equals(self) || driver.log().isActive(id))
                .map(MemberId::name)
                .distinct()
                .count();
        return remaining >= targetVoters();
    }

    @Override
    public boolean isCompleted(String name) {
        String host = state.hostByName().get(name);
        ReplicatedLog log = driver.log();
        boolean isMember = log.membership().members().stream()
                .anyMatch(member -> member.id().name().equals(host));
        boolean areVotersCaughtUp = log.membership().voters().size() >= targetVoters()
                && log.membership().voters().stream()
                        .allMatch(voter -> voter.id().equals(self) || log.isCaughtUp(voter.id()));
        return !isMember && !log.isChangePending() && areVotersCaughtUp;
    }
}
