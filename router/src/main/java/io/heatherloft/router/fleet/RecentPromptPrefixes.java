package io.heatherloft.router.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The shared prompt prefixes that were recently sent to a backend server.
 *
 * <p>The total number of tokens is limited; the least recently used prefixes are evicted. Confined to the loop's thread.
 */
final class RecentPromptPrefixes {
    private final Map<String, Integer> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private final long capacityTokens;
    private long tokens;

    RecentPromptPrefixes(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    void add(String prefix, int prefixTokens) {
        Integer known = tokensByPrefix.put(prefix, prefixTokens);
        tokens += prefixTokens - (known == null ? 0 : known);
        Iterator<Map.Entry<String, Integer>> eldest = tokensByPrefix.entrySet().iterator();
        while (tokens > capacityTokens && eldest.hasNext()) {
            tokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    boolean contains(String prefix) {
        return tokensByPrefix.containsKey(prefix);
    }
}
