package io.rosemarybeam.common.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.rosemarybeam.common.configuration.ServiceConfiguration.ServiceClass;
import io.rosemarybeam.common.configuration.ServiceReader.ParsedService;
import io.rosemarybeam.common.id.ServiceName;
import io.rosemarybeam.common.settings.Findings;
import io.rosemarybeam.common.settings.JsonValue.Position;

/** Validates the references between services. Confined to one call of the parser. */
final class ServiceGraph {
    private final Map<ServiceName, ParsedService> services;
    private final Findings findings;
    private final Set<ServiceName> finished = new HashSet<>();

    private ServiceGraph(Map<ServiceName, ParsedService> services, Findings findings) {
        this.services = services;
        this.findings = findings;
    }

    /**
     * Reports missing dependencies, cycles and wrong scoring services.
     *
     * @param services the services by name, in the order of the text
     * @param findings receives the violations
     */
    static void check(Map<ServiceName, ParsedService> services, Findings findings) {
        ServiceGraph graph = new ServiceGraph(services, findings);
        services.values().forEach(graph::checkReferences);
        services.keySet().forEach(graph::findCycles);
    }

    private void checkReferences(ParsedService service) {
        service.dependencies().forEach((dependency, position) -> {
            if (!services.containsKey(dependency)) {
                findings.add(position, "service \"" + dependency + "\" does not exist");
            }
        });
        service.configuration().scoringService().ifPresent(scoring -> checkScoring(service, scoring));
    }

    private void checkScoring(ParsedService service, ServiceName scoring) {
        ParsedService found = services.get(scoring);
        if (found == null) {
            findings.add(service.scoringPosition(), "service \"" + scoring + "\" does not exist");
        } else if (found.configuration().serviceClass() != ServiceClass.PLAIN) {
            findings.add(service.scoringPosition(), "scoring service \"" + scoring + "\" is no plain service");
        }
    }

    /** A service on the current path and its dependencies that are not visited yet. */
    private record Visit(ServiceName name, Iterator<Map.Entry<ServiceName, Position>> remainingDependencies) {}

    /**
     * Depth-first search with an explicit stack; with recursion, a long chain of services would overflow the stack of
     * the thread.
     */
    private void findCycles(ServiceName start) {
        if (finished.contains(start)) {
            return;
        }
        Deque<Visit> path = new ArrayDeque<>();
        Set<ServiceName> onPath = new HashSet<>();
        enter(start, path, onPath);
        while (!path.isEmpty()) {
            Visit visit = path.getLast();
            if (!visit.remainingDependencies().hasNext()) {
                path.removeLast();
                onPath.remove(visit.name());
                finished.add(visit.name());
                continue;
            }
            Map.Entry<ServiceName, Position> dependency =
                    visit.remainingDependencies().next();
            if (onPath.contains(dependency.getKey())) {
                findings.add(dependency.getValue(), "dependency cycle " + cycle(path, dependency.getKey()));
            } else if (services.containsKey(dependency.getKey()) && !finished.contains(dependency.getKey())) {
                enter(dependency.getKey(), path, onPath);
            }
        }
    }

    private void enter(ServiceName name, Deque<Visit> path, Set<ServiceName> onPath) {
        path.addLast(
                new Visit(name, services.get(name).dependencies().entrySet().iterator()));
        onPath.add(name);
    }

    private static String cycle(Deque<Visit> path, ServiceName repeated) {
        List<ServiceName> names = new ArrayList<>();
        boolean inCycle = false;
        for (Visit visit : path) {
            inCycle = inCycle || visit.name().equals(repeated);
            if (inCycle) {
                names.add(visit.name());
            }
        }
        names.add(repeated);
        return names.stream().map(ServiceName::value).collect(Collectors.joining(" -> "));
    }
}
