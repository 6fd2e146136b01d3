package io.heatherloft.router.fleet;

import io.heatherloft.domain.StableHash;
import io.heatherloft.domain.StoreRevision;
import io.heatherloft.domain.route.BackendHealth;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.router.backend.BackendEndpoint;

/**
 * A backend server with this host's outstanding requests on it and the health derived from its responses.
 *
 * <p>Confined to the loop's thread.
 */
public final class BackendServerState {
    private final BackendEndpoint endpoint;
    private final long idHash;
    private final long incarnationHash;
    private final BackendHealth health = new BackendHealth();
    // A fifth of an engine's KV cache, which is shared with the prompts of other hosts and with running requests.
    private final RecentPromptPrefixes recentPrefixes = new RecentPromptPrefixes(150_000L);
    private BackendRegistration entry;
    private StoreRevision revision;
    private boolean missing;
    private int outstanding;
    private long pendingPromptTokens;
    private long heldTokens;
    private long reservedTokens;
    private long lastRejectedMillis = Long.MIN_VALUE;
    private long lastReceivedMillis;

    BackendServerState(BackendRegistration entry, StoreRevision revision) {
        this.entry = entry;
        this.revision = revision;
        this.endpoint = new BackendEndpoint(entry.id(), entry.address());
        this.idHash = StableHash.of(entry.id());
        this.incarnationHash = StableHash.of(incarnation());
    }

    void update(BackendRegistration newEntry, StoreRevision newRevision) {
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

    /** Returns the server's newest entry in the store. */
    public BackendRegistration entry() {
        return entry;
    }

    /** Returns the store revision of the entry. */
    public StoreRevision revision() {
        return revision;
    }

    /** Returns an identifier that changes when the server restarts. */
    public String incarnation() {
        return entry.id() + '@' + entry.startedAtMillis();
    }

    public BackendEndpoint endpoint() {
        return endpoint;
    }

    /** Returns a hash of the incarnation, by which hosts refer to it in messages. */
    public long incarnationHash() {
        return incarnationHash;
    }

    /** Returns a hash of the server's ID, for rendezvous hashing. */
    public long idHash() {
        return idHash;
    }

    /** Returns the health derived from the server's responses. */
    public BackendHealth health() {
        return health;
    }

    /** Returns the number of this host's requests in progress on the server. */
    public int outstanding() {
        return outstanding;
    }

    /** Returns true if this host recently sent the server a request with a shared prompt prefix. */
    public boolean hasRecentPrefix(String prefix) {
        return recentPrefixes.contains(prefix);
    }

    /** Records that a request with a shared prompt prefix is sent to the server. */
    public void recordPrefix(String prefix, int tokens) {
        recentPrefixes.add(prefix, tokens);
    }

    /** Called when a request is sent to the server. */
    public void onRequestStart() {
        outstanding++;
        health.onDispatch();
    }

    /** Returns the time at which data was last received from the server, by the loop's clock. */
    public long lastReceivedMillis() {
        return lastReceivedMillis;
    }

    /** Called when data is received from the server. */
    public void onReceived(long nowMillis) {
        lastReceivedMillis = nowMillis;
    }

    /** Returns the number of prompt tokens of requests for which no response has begun. */
    public long pendingPromptTokens() {
        return pendingPromptTokens;
    }

    /** Adds the tokens of a prompt when it is sent; called with the negative number when its response begins. */
    public void addPendingPromptTokens(long tokens) {
        pendingPromptTokens += tokens;
    }

    /**
     * Returns the number of tokens of this host's requests in progress on the server, with those that it keeps free for a
     * waiting request; 0 if tokens are not counted.
     */
    public long claimedTokens() {
        return heldTokens + reservedTokens;
    }

    /** Returns the number of tokens of this host's requests in progress on the server; 0 if tokens are not counted. */
    public long heldTokens() {
        return heldTokens;
    }

    /** Adds the tokens of a request when it is sent; called with the negative number when it ends. */
    public void addHeldTokens(long tokens) {
        heldTokens += tokens;
    }

    /** Sets the number of tokens that this host keeps free on the server for a waiting request; 0 for none. */
    public void setReservedTokens(long tokens) {
        reservedTokens = tokens;
    }

    /** Called when the server has rejected a request of this host without executing it. */
    public void onRejected(long nowMillis) {
        lastRejectedMillis = nowMillis;
    }

    /** Returns true if the server has rejected a request of this host after a time. */
    public boolean hasRejectedSince(long sinceMillis) {
        return lastRejectedMillis > sinceMillis;
    }

    /** Called when a request on the server has ended. */
    public void onRequestEnd() {
        outstanding--;
    }
}
