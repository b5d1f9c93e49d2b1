package review;

import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in for trainers and operators of a deployment with one model service and one plain service. */
final class Trainer {
    static final String HOST = "ficu95.example";
    static final String MODEL = "daka510000";
    static final String ENGINES = "huvo11a";
    static final String DESK = "wuno96b";

    private final Deployment deployment;
    private final Record record;
    private int nextEdge;

    Trainer(Deployment deployment, Record record) {
        this.deployment = deployment;
        this.record = record;
    }

    /** A configuration as in PROTOCOL.md; without its route, rewards cannot be called. */
    static String configuration(int version, boolean withRewardRoute) {
        String reward = "{\"Name\":\"r-reward\",\"Hostname\":\"" + HOST
                + "\",\"PathPrefix\":\"/pufi791/\",\"RouteType\":\"idempotent\",\"TimeoutMs\":3000,"
                + "\"TargetLatencyMs\":847,\"Priority\":2,\"Backend\":\"" + DESK + "\",\"MaxAttempts\":4},";
        return "{\"Version\":" + version + ",\"Routes\":[" + (withRewardRoute ? reward : "")
                + "{\"Name\":\"r-drill\",\"Hostname\":\"" + HOST
                + "\",\"PathPrefix\":\"/pule252/\",\"RouteType\":\"rollout\",\"TimeoutMs\":10000,"
                + "\"TargetLatencyMs\":400,\"Priority\":1,\"Backend\":\"" + ENGINES
                + "\",\"MaxAttempts\":3,\"RunAimMs\":7500,\"KeepS\":40,\"SessionAffinity\":true},"
                + "{\"Name\":\"r-query\",\"Hostname\":\"" + HOST
                + "\",\"PathPrefix\":\"/lohu930/\",\"RouteType\":\"idempotent\",\"TimeoutMs\":800,"
                + "\"TargetLatencyMs\":205,\"Priority\":2,\"Backend\":\"" + DESK + "\",\"MaxAttempts\":2},"
                + "{\"Name\":\"r-stream\",\"Hostname\":\"" + HOST
                + "\",\"PathPrefix\":\"/jodo117/\",\"RouteType\":\"streaming\",\"Resumable\":true,"
                + "\"TimeoutMs\":30000,\"TargetLatencyMs\":400,\"Priority\":1,\"Backend\":\"" + DESK
                + "\",\"MaxAttempts\":3}],"
                + "\"Services\":[{\"Name\":\"" + ENGINES
                + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":130,\"Protocol\":\"h1\",\"Tls\":false,"
                + "\"Engine\":{\"Capacity\":8,\"KvTokens\":69694,\"Models\":[{\"Name\":\"" + MODEL + "\"}]}},"
                + "{\"Name\":\"" + DESK
                + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":33554432,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000}}";
    }

    /** Applies a configuration; returns whether it was acknowledged. */
    boolean configure(int version, boolean withRewardRoute, long timeoutMs) throws InterruptedException {
        boolean done = deployment.order("/api/config/replace", configuration(version, withRewardRoute), timeoutMs);
        record.log("configuration %d %s", version, done ? "is acknowledged" : "is not acknowledged");
        return done;
    }

    static String item(String submission, int index) {
        return submission + "-" + index;
    }

    /** Submits items in groups of four, at one edge after another until one accepts them. */
    boolean submit(String id, int items, long timeoutMs) throws InterruptedException {
        StringBuilder list = new StringBuilder();
        for (int index = 0; index < items; index++) {
            String item = item(id, index);
            list.append(index == 0 ? "" : ",")
                    .append("{\"Id\":\"" + item + "\",\"Path\":\"/pule252/3/" + index
                            + "\",\"Headers\":{\"Rosemarybeam-Model\":\"" + MODEL
                            + "\",\"Rosemarybeam-Token-Usage\":\"255,1600\",\"Rosemarybeam-Prefix-Hash\":\"9c2e41:255\"},"
                            + "\"Body\":\"" + base64("prompt " + item) + "\",\"TokenCount\":1855,\"Group\":\"" + id
                            + "-g" + index / 4 + "\",\"Scorer\":{\"Id\":\"" + item + "-s\",\"Hostname\":\"" + HOST
                            + "\",\"Path\":\"/pufi791/5e07\",\"Body\":\"" + base64("reward " + item) + "\"}}");
        }
        String body = "{\"Step\":0,\"Model\":\"" + MODEL + "\",\"OldestVersion\":1,\"GroupCount\":" + items / 4
                + ",\"Items\":[" + list + "]}";
        long deadline = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < deadline) {
            String edge = nextEdge();
            Http.Message answer = Http.call(edge, "POST", "/pule252/" + id, headers(id), Http.bytes(body), 3_000);
            record.log("submission %s at %s is answered %d", id, edge, answer.status());
            if (answer.status() == 202) {
                return true;
            }
            Thread.sleep(300);
        }
        return false;
    }

    /** Reads the results of a submission once, from a position on, at the next edge. */
    Http.Message read(String id, int after) {
        Map<String, String> headers = headers(id);
        headers.put("Rosemarybeam-Wait-Ms", "1000");
        return Http.call(nextEdge(), "GET", "/api/lots/" + id + "?After=" + after, headers, new byte[0], 2_500);
    }

    /** Reads a submission until all items are completed; returns whether they are in time. */
    boolean awaitComplete(String id, int items, double withinSeconds) {
        double end = record.seconds() + withinSeconds;
        while (record.seconds() < end) {
            Map<String, String> states = states(read(id, 0).text());
            if (states.values().stream().filter("completed"::equals).count() == items) {
                record.log("all items of %s are completed", id);
                return true;
            }
            Replica.pause(300);
        }
        return false;
    }

    /** Returns the states of the results of a page, by item. */
    static Map<String, String> states(String page) {
        Map<String, String> states = new LinkedHashMap<>();
        Matcher results = Pattern.compile("\"Id\":\"([^\"]*)\",\"State\":\"([a-z]*)\"").matcher(page);
        while (results.find()) {
            states.put(results.group(1), results.group(2));
        }
        return states;
    }

    Http.Message query(String id) {
        Map<String, String> headers = headers(id);
        headers.put("Rosemarybeam-Deadline-Ms", "800");
        return Http.call(nextEdge(), "POST", "/lohu930/2f", headers, Http.bytes("query " + id), 1_000);
    }

    String nextEdge() {
        nextEdge = (nextEdge + 1) % deployment.edges();
        return deployment.front(nextEdge);
    }

    static Map<String, String> headers(String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Rosemarybeam-Request-Id", id);
        headers.put("Connection", "close");
        return headers;
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(Http.bytes(text));
    }
}
