package io.heatherloft.domain.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The facts that one host knows.
 *
 * <p>Invariants: a fact, once known, stays until it expires; merging is commutative and
 * idempotent; the set is bounded, and beyond the bound the fact that expires first is dropped. Confined to one thread.
 */
public final class FactSet {
    private static final int MAX_FACTS = 4_096;
    private static final int TRANSMISSIONS_PER_FACT = 12;

    private final Map<FactKey, Fact> facts = new LinkedHashMap<>();
    private final Map<FactKey, Integer> remainingTransmissions = new LinkedHashMap<>();
    private int sampleIndex;

    /** Adds a fact; returns true if it was not known. */
    public boolean add(Fact fact, long nowMillis) {
        if (fact.expiresAtMillis() <= nowMillis) {
            return false;
        }
        FactKey key = FactKey.of(fact);
        Fact known = facts.get(key);
        if (known != null && known.generation() >= fact.generation()) {
            return false;
        }
        facts.put(key, fact);
        remainingTransmissions.put(key, TRANSMISSIONS_PER_FACT);
        if (facts.size() > MAX_FACTS) {
            evictEarliestExpiring();
        }
        return true;
    }

    /** Forgets expired facts. */
    public void expire(long nowMillis) {
        facts.values().removeIf(fact -> fact.expiresAtMillis() <= nowMillis);
        remainingTransmissions.keySet().retainAll(facts.keySet());
    }

    /** Returns true if a fact of this kind is known of {@code subject}. */
    public boolean contains(Fact.Kind kind, String subject) {
        return facts.values().stream()
                .anyMatch(fact -> fact.kind() == kind && fact.subject().equals(subject));
    }

    /** Returns the details of all facts of this kind about {@code subject}. */
    public Set<String> details(Fact.Kind kind, String subject) {
        return facts.values().stream()
                .filter(fact -> fact.kind() == kind && fact.subject().equals(subject))
                .map(Fact::detail)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns all facts of one kind. */
    public List<Fact> ofKind(Fact.Kind kind) {
        return facts.values().stream().filter(fact -> fact.kind() == kind).toList();
    }

    /** Returns the facts to put in a message: those sent least so far, then a rotating sample of the rest. */
    public List<Fact> selectForGossip(int limit) {
        List<FactKey> fresh =
                remainingTransmissions.keySet().stream().limit(limit).toList();
        fresh.forEach(key -> remainingTransmissions.computeIfPresent(
                key, (_key, left) -> left > 1 ? Integer.valueOf(left - 1) : null));
        List<Fact> mentioned = new ArrayList<>(fresh.stream().map(facts::get).toList());
        List<Fact> all = List.copyOf(facts.values());
        int samples = Math.min(limit - mentioned.size(), all.size());
        for (int index = 0; index < samples; index++) {
            sampleIndex = (sampleIndex + 1) % all.size();
            mentioned.add(all.get(sampleIndex));
        }
        return mentioned.stream().distinct().toList();
    }

    /** Returns the number of facts known. */
    public int size() {
        return facts.size();
    }

    private void evictEarliestExpiring() {
        facts.values().stream()
                .min(java.util.Comparator.comparingLong(Fact::expiresAtMillis))
                .map(FactKey::of)
                .ifPresent(key -> {
                    facts.remove(key);
                    remainingTransmissions.remove(key);
                });
    }

    private record FactKey(Fact.Kind kind, String subject, String detail) {
        static FactKey of(Fact fact) {
            return new FactKey(fact.kind(), fact.subject(), fact.detail());
        }
    }
}
