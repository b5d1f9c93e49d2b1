package io.rosemarybeam.testbed.capacity;

import java.io.IOException;

/**
 * Runs the production code at several sizes and prints the linear fits on which docs/CAPACITY.md is based. Confined to the
 * main thread, apart from the processes and threads that the benchmarks start.
 */
public final class CapacityBenchmark {
    private CapacityBenchmark() {}

    /**
     * Runs all benchmarks.
     *
     * @param arguments unused
     * @throws IOException if a data folder cannot be created
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
