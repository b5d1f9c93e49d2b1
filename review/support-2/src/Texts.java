import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Configurations and submissions in the platform's format. */
final class Texts {
    static final String PLAIN = "guichet";
    static final String MODEL = "atelier";

    private Texts() {}

    /** A configuration with an idempotent, a non-idempotent, a resumable streaming and a rollout route. */
    static String configuration(int version) {
        return """
                {"Version":%d,"Routes":[
                {"Name":"lookup","Hostname":"%s","PathPrefix":"/lookup/","RouteType":"idempotent","TimeoutMs":3000,
                 "TargetLatencyMs":800,"Priority":2,"Backend":"%s","MaxAttempts":2},
                {"Name":"order","Hostname":"%s","PathPrefix":"/order/","RouteType":"non_idempotent","TimeoutMs":3000,
                 "TargetLatencyMs":800,"Priority":2,"Backend":"%s","MaxAttempts":2},
                {"Name":"stream","Hostname":"%s","PathPrefix":"/stream/","RouteType":"streaming","Resumable":true,
                 "TimeoutMs":10000,"TargetLatencyMs":400,"Priority":1,"Backend":"%s","MaxAttempts":3,
                 "SessionAffinity":true},
                {"Name":"train","Hostname":"%s","PathPrefix":"/train/","RouteType":"rollout","TimeoutMs":10000,
                 "TargetLatencyMs":400,"RunAimMs":7500,"KeepS":30,"Priority":1,"Backend":"%s","MaxAttempts":3,
                 "SessionAffinity":true}],
                "Services":[
                {"Name":"%s","HealthPath":"/healthz","MaxConnections":96,"Protocol":"h1","Tls":false},
                {"Name":"%s","HealthPath":"/healthz","MaxConnections":130,"Protocol":"h1","Tls":false,
                 "Engine":{"Capacity":8,"KvTokens":69694,"KvBytes":131072,"Models":[{"Name":"model"}]}}],
                "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":33554432,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}
                """.formatted(
                        version, Bed.HOST, PLAIN, Bed.HOST, PLAIN, Bed.HOST, MODEL, Bed.HOST, MODEL, PLAIN, MODEL);
    }

    /** A submission whose items have ids "name-0" and so on. */
    static String submission(String name, int items, int maximumTokens) {
        StringBuilder text = new StringBuilder("{\"Step\":0,\"Model\":\"model\",\"OldestVersion\":0,\"GroupCount\":" + items
                + ",\"Items\":[");
        String body = Base64.getEncoder().encodeToString("prompt".getBytes(StandardCharsets.UTF_8));
        for (int item = 0; item < items; item++) {
            text.append(item == 0 ? "" : ",")
                    .append("{\"Id\":\"").append(name).append('-').append(item)
                    .append("\",\"Path\":\"/train/x\",\"Headers\":{\"Rosemarybeam-Model\":\"model\",")
                    .append("\"Rosemarybeam-Token-Usage\":\"16,").append(maximumTokens)
                    .append("\"},\"Body\":\"").append(body).append("\",\"TokenCount\":").append(16 + maximumTokens)
                    .append(",\"Group\":\"g").append(item).append("\"}");
        }
        return text.append("]}").toString();
    }
}
