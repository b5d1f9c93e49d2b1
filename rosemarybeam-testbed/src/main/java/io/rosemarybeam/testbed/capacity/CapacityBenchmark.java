package io.rosemarybeam.testbed.capacity;

import java.io.IOException;

/**
 * Runs the real code at several sizes and prints the slopes that docs/CAPACITY.md uses. Confined to the main thread apart
 * from what it starts.
 */
public final class CapacityBenchmark {
    private CapacityBenchmark() {}

    /**
     * Runs all measurements.
     *
     * @param arguments unused
     * @throws IOException if a data folder cannot be made
     */
    public static void main(String[] arguments) throws IOException {
        System.out.println("== control leader and follower ==");
        new LeaderBenchmark().measure().forEach(System.out::println);
        System.out.println("== an entry without requests ==");
        new EntryBenchmark().measure().forEach(System.out::println);
        System.out.println("== messages and operator text ==");
        new MessageBenchmark().measure().forEach(System.out::println);
        System.out.println("== accepted changes in the replicated state ==");
        new HistoryBenchmark().measure().forEach(System.out::println);
        System.out.println("== decisions of an entry ==");
        new DecisionBenchmark().measure().forEach(System.out::println);
    }
}
