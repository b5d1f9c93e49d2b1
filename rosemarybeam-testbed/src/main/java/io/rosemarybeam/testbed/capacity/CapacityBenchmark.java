package io.rosemarybeam.testbed.capacity;

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
     */
    public static void main(String[] arguments) {
        System.out.println("== messages and operator text ==");
        new MessageCosts().measure().forEach(System.out::println);
        System.out.println("== decisions of an entry ==");
        new DecisionCosts().measure().forEach(System.out::println);
    }
}
