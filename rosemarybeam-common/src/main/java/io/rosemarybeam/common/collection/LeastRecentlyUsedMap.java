package io.rosemarybeam.common.collection;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map of bounded size that evicts the least recently used entry. Not safe for use by several threads.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public final class LeastRecentlyUsedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maximumSize;

    /**
     * Creates an empty map.
     *
     * @param maximumSize maximum number of entries
     */
    public LeastRecentlyUsedMap(int maximumSize) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.maximumSize = maximumSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maximumSize;
    }
}
