package io.heatherloft.domain.rollout;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Hashes of the sessions that stay on the previous version until the ramp of a rollout, since they ran on it before the
 * canary phase.
 *
 * <p>Hosts merge their sets; the result does not depend on the order of the merges. Invariant: at most {@link #CAPACITY}
 * hashes are held, those with the lowest position in the unit interval. Once the set is full, every session above the
 * highest held hash counts as retained, which reduces the canary share and never moves a session. Confined to one thread.
 */
public final class RetainedSessions {
    /** Limits the size of the set in a message to 1 KB. */
    public static final int CAPACITY = 128;

    private final TreeSet<Long> hashes = new TreeSet<>(Long::compareUnsigned);

    /** Adds a session. */
    public void add(long hash) {
        hashes.add(hash);
        if (hashes.size() > CAPACITY) {
            hashes.pollLast();
        }
    }

    /** Adds the sessions of another set. */
    public void addAll(Collection<Long> others) {
        others.forEach(this::add);
    }

    /** Returns true if the session stays on the previous version. */
    public boolean contains(long hash) {
        return hashes.contains(hash) || (hashes.size() == CAPACITY && Long.compareUnsigned(hash, hashes.last()) > 0);
    }

    /** Returns the hashes that are held. */
    public List<Long> hashes() {
        return List.copyOf(hashes);
    }
}
