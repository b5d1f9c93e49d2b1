package io.rosemarybeam.decision.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.rosemarybeam.common.configuration.ServiceConfiguration;
import io.rosemarybeam.decision.rollout.RolloutInput.ConfigurationActivated;
import io.rosemarybeam.decision.rollout.RolloutInput.DrainStarted;
import io.rosemarybeam.decision.rollout.RolloutInput.IssuerDenied;
import io.rosemarybeam.decision.rollout.RolloutInput.IssuerGranted;
import io.rosemarybeam.decision.rollout.RolloutInput.MembershipChanged;
import io.rosemarybeam.decision.rollout.RolloutInput.OrderAnswered;
import io.rosemarybeam.decision.rollout.RolloutInput.Tick;
import io.rosemarybeam.decision.rollout.RolloutInput.WeightsPublished;
import io.rosemarybeam.decision.rollout.RolloutTables.EndpointEntity;
import io.rosemarybeam.decision.rollout.RolloutTables.ServiceEntity;

/**
 * Rollout core made of systems that run over shared tables, as in an entity-component-system architecture.
 *
 * <p>Invariant: an input changes the tables first; then every system runs once. Confined to one thread.
 */
final class DefaultRolloutCore implements RolloutCore {
    private final RolloutTables tables;
    private final IssuerSystem issuers;
    private final SwapSystem swaps;
    private final RoleSystem roles;

    DefaultRolloutCore(RolloutCoreSettings settings) {
        tables = new RolloutTables(Objects.requireNonNull(settings, "settings"));
        issuers = new IssuerSystem(tables);
        swaps = new SwapSystem(tables);
        roles = new RoleSystem(tables);
    }

    @Override
    public List<RolloutCommand> handle(long nowMilliseconds, RolloutInput input) {
        List<RolloutCommand> commands = new ArrayList<>();
        apply(nowMilliseconds, Objects.requireNonNull(input, "input"));
        swaps.observe(nowMilliseconds, commands);
        tables.eligibleEndpoints().forEach((name, endpoints) -> {
            boolean needed = swaps.isNeeded(name, endpoints) || roles.isNeeded(endpoints);
            issuers.run(nowMilliseconds, name, needed, commands);
            if (needed && !tables.draining && tables.service(name).isIssuer(nowMilliseconds)) {
                roles.run(nowMilliseconds, name, endpoints, commands);
                tables.configuration
                        .flatMap(current -> current.service(name))
                        .flatMap(ServiceConfiguration::rollout)
                        .ifPresent(rules -> swaps.run(nowMilliseconds, name, endpoints, rules, commands));
            }
        });
        return commands;
    }

    @Override
    public Map<String, Object> dump() {
        return tables.dump();
    }

    private void apply(long now, RolloutInput input) {
        switch (input) {
            case Tick unused -> {
                // Changes no table; the systems run on every input.
            }
            case ConfigurationActivated activated -> activate(activated);
            case MembershipChanged changed -> tables.apply(changed.delta());
            case WeightsPublished published -> {
                ServiceEntity service = tables.service(published.service());
                service.publishedVersion =
                        Math.max(service.publishedVersion, published.version().value());
            }
            case IssuerGranted granted -> issuers.granted(granted);
            case IssuerDenied denied -> issuers.denied(denied.service());
            case OrderAnswered answered -> {
                EndpointEntity endpoint = tables.endpoints.get(answered.endpoint());
                if (endpoint != null) {
                    swaps.answered(now, endpoint, answered);
                    roles.answered(now, endpoint, answered);
                }
            }
            case DrainStarted unused -> tables.draining = true;
        }
    }

    private void activate(ConfigurationActivated activated) {
        boolean newer = tables.configuration
                .map(current ->
                        current.number().compareTo(activated.configuration().number()) < 0)
                .orElse(true);
        if (newer) {
            tables.configuration = Optional.of(activated.configuration());
        }
    }
}
