package io.heatherloft.ports.store;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.StoreRevision;

/**
 * A key of the platform's key-value service with its value. Immutable and thread-safe.
 *
 * @param revision store revision at which the key was last changed
 */
public record StoreValue(String key, Bytes value, StoreRevision revision) {}
