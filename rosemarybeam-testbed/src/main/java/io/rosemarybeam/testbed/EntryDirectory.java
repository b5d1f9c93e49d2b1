package io.rosemarybeam.testbed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.asynchttpclient.AsyncHttpClient;

/**
 * Cache of entry addresses, as a caller has it: fetches the list from one entry host, uses it for its time to live, and
 * removes addresses that fail. Safe for use by several threads.
 */
public final class EntryDirectory {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final AsyncHttpClient client;
    private final List<String> seeds;
    private final String failureDomain;
    private List<String> addresses = List.of();
    private long validUntilMilliseconds;

    /**
     * Creates a directory.
     *
     * @param client sends the requests
     * @param seeds entry addresses from which the list can be fetched
     * @param failureDomain failure domain of the caller
     */
    public EntryDirectory(AsyncHttpClient client, List<String> seeds, String failureDomain) {
        this.client = client;
        this.seeds = List.copyOf(seeds);
        this.failureDomain = failureDomain;
    }

    /**
     * Returns a random address from the list, after fetching the list if it has expired. Blocks during the fetch.
     *
     * @return IP address and port
     */
    public synchronized String nextAddress() {
        if (addresses.isEmpty() || ModelEngine.nowMilliseconds() >= validUntilMilliseconds) {
            refresh();
        }
        List<String> usable = addresses.isEmpty() ? seeds : addresses;
        return usable.get(ThreadLocalRandom.current().nextInt(usable.size()));
    }

    /**
     * Removes an address to which a request failed, until the list is fetched again.
     *
     * @param address IP address and port
     */
    public synchronized void removeAddress(String address) {
        List<String> remaining = new ArrayList<>(addresses);
        remaining.remove(address);
        addresses = List.copyOf(remaining);
    }

    private void refresh() {
        List<String> candidates = new ArrayList<>(addresses);
        candidates.addAll(seeds);
        for (String candidate : candidates) {
            if (fetchAddresses(candidate)) {
                return;
            }
        }
    }

    private boolean fetchAddresses(String candidate) {
        try {
            var response = client.prepareGet("http://" + candidate + "/v1/addresses?failureDomain=" + failureDomain)
                    .execute()
                    .toCompletableFuture()
                    .join();
            if (response.getStatusCode() != 200) {
                return false;
            }
            JsonNode answer = MAPPER.readTree(response.getResponseBody());
            List<String> received = new ArrayList<>();
            answer.path("addresses").forEach(address -> received.add(address.asText()));
            addresses = List.copyOf(received);
            validUntilMilliseconds = ModelEngine.nowMilliseconds()
                    + answer.path("timeToLiveMilliseconds").asLong();
            return !received.isEmpty();
        } catch (IOException | RuntimeException unreachable) {
            return false;
        }
    }
}
