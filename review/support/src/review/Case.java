package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Runs one case: exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private Case() {}

    /** What a case does; returns its exit code. */
    interface Body {
        int run(Deployment deployment, Record record, boolean trouble) throws Exception;
    }

    /** Runs a case with its record in the folder of the first argument, and with the disruption unless TROUBLE is 0. */
    static void run(String[] arguments, int stores, int edges, List<String> storeFlags, Body body) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = NOT_RUN;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Deployment deployment = new Deployment(stores, edges, storeFlags)) {
            try {
                deployment.startAll();
                exit = body.run(deployment, record, trouble);
            } catch (Exception failure) {
                record.log("the case could not run: %s", failure);
            }
            record.log("exit %d", exit);
        }
        System.exit(exit);
    }
}
