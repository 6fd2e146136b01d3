package io.heatherloft.domain.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A model and its versions, in the order of the operator's file; the first active version is the default.
 *
 * <p>Invariant: version names are unique within the model. Immutable and thread-safe.
 */
public record Model(String name, List<Version> versions) {
    /** Returns the version named {@code versionName}, if the model has one. */
    public Optional<Version> version(String versionName) {
        return versions.stream()
                .filter(candidate -> candidate.name().equals(versionName))
                .findFirst();
    }

    /**
     * A version of a model.
     *
     * @param pool pool of backend servers that serve it
     * @param price price of its tokens
     * @param withdrawn true if it takes no new work
     * @param successor version that sessions of a withdrawn version may move to
     */
    public record Version(String name, String pool, TokenPrice price, boolean withdrawn, Optional<String> successor) {}

    /**
     * Prices in micros (millionths of the billing currency) per thousand tokens.
     */
    public record TokenPrice(long inputMicrosPerThousand, long outputMicrosPerThousand) {
        private static final long THOUSAND = 1_000L;

        /** Returns the cost in micros, rounded up, so that no answer with tokens is free at a positive price. */
        public long costMicros(long inputTokens, long outputTokens) {
            long scaled = inputTokens * inputMicrosPerThousand + outputTokens * outputMicrosPerThousand;
            return (scaled + THOUSAND - 1) / THOUSAND;
        }
    }
}
