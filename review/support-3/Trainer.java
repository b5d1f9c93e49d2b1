import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Submits, reads and ends batch submissions as a trainer does. Confined to one thread. */
final class Trainer {
    private static final Pattern RESULT = Pattern.compile("\\{\"Id\":\"([^\"]*)\",\"State\":\"([^\"]*)\",\"Text\":\"([^\"]*)\"");

    private final Lab lab;
    private final String host;
    private final String prefix;
    private final String model;
    private final int edges;
    private int edge;

    /** A result as it was read. Immutable. */
    record Result(String id, String state, String text) {}

    Trainer(Lab lab, String host, String prefix, String model, int edges) {
        this.lab = lab;
        this.host = host;
        this.prefix = prefix;
        this.model = model;
        this.edges = edges;
    }

    private String nextEdge() {
        edge = edge % edges + 1;
        return lab.front(edge);
    }

    static String id(String name) {
        return String.format("%016x", name.hashCode() * 0x9E3779B97F4A7C15L);
    }

    /** Returns a submission with items of one group each. */
    String submission(String name, int step, long oldest, int items) {
        List<String> texts = new ArrayList<>();
        for (int item = 0; item < items; item++) {
            texts.add("{\"Id\":\"" + id(name + " " + item) + "\",\"Path\":\"" + prefix + "i/" + item + "\",\"Headers\":{"
                    + "\"Rosemarybeam-Model\":\"" + model + "\",\"Rosemarybeam-Token-Usage\":\"40,400\"},\"Body\":\""
                    + Base64.getEncoder().encodeToString(("body of " + name + " " + item).getBytes(StandardCharsets.UTF_8))
                    + "\",\"TokenCount\":440,\"Group\":\"g" + name + item / 4 + "\"}");
        }
        return "{\"Step\":" + step + ",\"Model\":\"" + model + "\",\"OldestVersion\":" + oldest + ",\"GroupCount\":" + items / 4
                + ",\"Items\":[" + String.join(",", texts) + "]}";
    }

    /** Submits until it is accepted; returns whether it was. */
    boolean submit(String name, String text, long milliseconds) {
        long deadline = lab.now() + milliseconds;
        while (lab.now() < deadline) {
            String address = nextEdge();
            Lab.Reply reply = Lab.call(
                    address,
                    "POST",
                    prefix + "s/" + id(name),
                    Map.of("Host", host, "Rosemarybeam-Request-Id", id(name), "Content-Type", "application/json"),
                    text.getBytes(StandardCharsets.UTF_8),
                    4_000);
            if (reply.status == 202) {
                lab.note("submission %s accepted", name);
                return true;
            }
            lab.note("submission %s answered %d", name, reply.status);
            Replica.pause(200);
        }
        return false;
    }

    /** Returns the results from a position on; null without an answer 200. */
    List<Result> read(String name, int after) {
        Lab.Reply reply = Lab.call(
                nextEdge(), "GET", "/api/lots/" + id(name) + "?After=" + after, Map.of("Host", host), new byte[0], 3_000);
        if (reply.status != 200) {
            return null;
        }
        List<Result> results = new ArrayList<>();
        Matcher matcher = RESULT.matcher(reply.text());
        while (matcher.find()) {
            results.add(new Result(matcher.group(1), matcher.group(2), matcher.group(3)));
        }
        return results;
    }

    /** Ends a submission until the end is acknowledged. */
    boolean end(String name, long milliseconds) {
        long deadline = lab.now() + milliseconds;
        while (lab.now() < deadline) {
            Lab.Reply reply = Lab.call(
                    nextEdge(), "DELETE", "/api/lots/" + id(name), Map.of("Host", host), new byte[0], 3_000);
            if (reply.status == 200) {
                lab.note("submission %s ended", name);
                return true;
            }
            Replica.pause(200);
        }
        return false;
    }
}
