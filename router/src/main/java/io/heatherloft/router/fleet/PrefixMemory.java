package io.heatherloft.router.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The shared parts of prompts that were sent to a backend server lately.
 *
 * <p>Invariant: the tokens remembered are at most the capacity; the parts used last stay. Confined to the loop's thread.
 */
final class PrefixMemory {
    private final Map<String, Integer> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);
    private final long capacityTokens;
    private long tokens;

    PrefixMemory(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    void add(String part, int partTokens) {
        Integer known = tokensByPart.put(part, partTokens);
        tokens += partTokens - (known == null ? 0 : known);
        Iterator<Map.Entry<String, Integer>> eldest = tokensByPart.entrySet().iterator();
        while (tokens > capacityTokens && eldest.hasNext()) {
            tokens -= eldest.next().getValue();
            eldest.remove();
        }
    }

    boolean contains(String part) {
        return tokensByPart.containsKey(part);
    }
}
