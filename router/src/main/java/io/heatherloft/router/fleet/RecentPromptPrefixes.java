package io.heatherloft.router.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The shared parts of prompts that were sent to a backend server lately.
 *
 * <p>Invariant: the tokens remembered are at most the capacity; the parts used last stay. Confined to the loop's thread.
 */
final class RecentPromptPrefixes {
    private final Map<String, Integer> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private final long capacityTokens;
    private long tokens;

    RecentPromptPrefixes(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    void add(String part, int partTokens) {
        Integer known = tokensByPrefix.put(part, partTokens);
        tokens += partTokens - (known == null ? 0 : known);
        Iterator<Map.Entry<String, Integer>> eldest = tokensByPrefix.entrySet().iterator();
        while (tokens > capacityTokens && eldest.hasNext()) {
            tokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    boolean contains(String part) {
        return tokensByPrefix.containsKey(part);
    }
}
