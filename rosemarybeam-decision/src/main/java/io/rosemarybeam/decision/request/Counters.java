package io.rosemarybeam.decision.request;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counts of the core since its start, for the state dump. Confined to the thread of the core. */
final class Counters {
    long arrivals;
    long attempts;
    long answers;
    long refusals;
    long repeatedAttempts;
    long resumedAttempts;
    long preemptions;
    long ejections;
    long crashes;

    /** Events of attempts that are not open, such as late or unmatched chunks. */
    long droppedEvents;

    Map<String, Long> dump() {
        Map<String, Long> dump = new LinkedHashMap<>();
        dump.put("arrivals", arrivals);
        dump.put("attempts", attempts);
        dump.put("answers", answers);
        dump.put("refusals", refusals);
        dump.put("repeatedAttempts", repeatedAttempts);
        dump.put("resumedAttempts", resumedAttempts);
        dump.put("preemptions", preemptions);
        dump.put("ejections", ejections);
        dump.put("crashes", crashes);
        dump.put("droppedEvents", droppedEvents);
        return dump;
    }
}
