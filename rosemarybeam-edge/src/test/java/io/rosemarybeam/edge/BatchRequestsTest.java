package io.rosemarybeam.edge;

import java.io.IOException;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against malformed calls that are answered as a failure of the edge, which trainers repeat. */
class BatchRequestsTest {
    @TempDir
    Path folder;

    @Test
    void shouldRefuseReadWhenItsParametersAreMalformed() throws IOException {
        try (PlatformCluster cluster = new PlatformCluster(folder)) {
            cluster.startStore();
            cluster.startEdge(0);
            for (String query :
                    new String[] {"After=x", "After=99999999999", "After=1.5", "After=%zz", "After=%", "After="}) {
                assertEquals("HTTP/1.1 400 Bad Request", cluster.read(0, "/api/lots/s-1?" + query), query);
            }
        }
    }
}
