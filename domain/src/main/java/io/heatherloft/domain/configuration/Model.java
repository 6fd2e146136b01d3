package io.heatherloft.domain.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A model with its versions in the order of declaration; the first active version is the default.
 *
 * <p>The names of this record, its nested records and their components are part of the digest that hosts compare (see
 * {@link Configuration#declarationDigest}).
 *
 * <p>Invariant: version names are unique within the model. Immutable and thread-safe.
 */
public record Model(String name, List<Version> versions) {
    /** Returns the version with the given name. */
    public Optional<Version> version(String versionName) {
        return versions.stream()
                .filter(candidate -> candidate.name().equals(versionName))
                .findFirst();
    }

    /**
     * A version of a model.
     *
     * @param pool pool of backend servers that run the version
     * @param price price of the version's tokens
     * @param withdrawn true if the version receives no new requests
     * @param successor version to which sessions may move when this version is withdrawn
     */
    public record Version(String name, String pool, TokenPrice price, boolean withdrawn, Optional<String> successor) {}

    /**
     * Prices per thousand tokens, in micros (millionths of the billing currency).
     */
    public record TokenPrice(long inputMicrosPerThousand, long outputMicrosPerThousand) {
        private static final long THOUSAND = 1_000L;

        /** Returns the cost in micros, rounded up, so that tokens with a positive price are never free. */
        public long costMicros(long inputTokens, long outputTokens) {
            long scaled = inputTokens * inputMicrosPerThousand + outputTokens * outputMicrosPerThousand;
            return (scaled + THOUSAND - 1) / THOUSAND;
        }
    }
}
