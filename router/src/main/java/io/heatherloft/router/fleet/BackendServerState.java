package io.heatherloft.router.fleet;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.route.BackendHealth;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.router.backend.BackendTarget;

/**
 * A backend server with what this host has in progress on it and how that fared.
 *
 * <p>Confined to the loop's thread.
 */
public final class BackendServerState {
    private final BackendTarget target;
    private final long idHash;
    private final BackendHealth health = new BackendHealth();
    // A fifth of an engine's cache: the other hosts fill it as well, and running requests take room.
    private final PrefixMemory prefixes = new PrefixMemory(150_000L);
    private BackendRegistration entry;
    private long revision;
    private boolean missing;
    private int outstanding;
    private long unreadTokens;
    private long lastNewsMillis;

    BackendServerState(BackendRegistration entry, long revision) {
        this.entry = entry;
        this.revision = revision;
        this.target = new BackendTarget(entry.id(), entry.address());
        this.idHash = StableHash.of(entry.id());
    }

    void update(BackendRegistration newEntry, long newRevision) {
        this.entry = newEntry;
        this.revision = newRevision;
        this.missing = false;
    }

    void markMissing() {
        missing = true;
    }

    boolean isMissing() {
        return missing;
    }

    /** Returns what the server last said of itself. */
    public BackendRegistration entry() {
        return entry;
    }

    /** Returns the store's revision of the entry. */
    public long revision() {
        return revision;
    }

    /** Returns a name of this start of the server. */
    public String incarnation() {
        return entry.id() + '@' + entry.startedAtMillis();
    }

    /** Returns where to connect. */
    public BackendTarget target() {
        return target;
    }

    /** Returns a hash of the identity, for rendezvous weights. */
    public long idHash() {
        return idHash;
    }

    /** Returns how the server's answers fared. */
    public BackendHealth health() {
        return health;
    }

    /** Returns the requests of this host in progress on the server. */
    public int outstanding() {
        return outstanding;
    }

    /** Returns true if a request with a shared part of its prompt was sent to the server lately. */
    public boolean remembersPrefix(String part) {
        return prefixes.contains(part);
    }

    /** A request with a shared part of its prompt is being sent to the server. */
    public void rememberPrefix(String part, int tokens) {
        prefixes.add(part, tokens);
    }

    /** A request is being sent to the server. */
    public void begin() {
        outstanding++;
        health.onDispatch();
    }

    /** Returns the loop time at which something last arrived from the server. */
    public long lastNewsMillis() {
        return lastNewsMillis;
    }

    /** Something has arrived from the server. */
    public void onNews(long nowMillis) {
        lastNewsMillis = nowMillis;
    }

    /** Returns the tokens of prompts sent to the server that it has not begun to answer. */
    public long unreadTokens() {
        return unreadTokens;
    }

    /** A prompt was sent to the server, or it has begun to answer one: a negative number of tokens. */
    public void addUnreadTokens(long tokens) {
        unreadTokens += tokens;
    }

    /** A request on the server has ended. */
    public void end() {
        outstanding--;
    }
}
