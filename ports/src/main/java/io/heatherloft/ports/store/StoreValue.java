package io.heatherloft.ports.store;

import io.heatherloft.domain.Bytes;

/**
 * A key of the platform's key-value service with its value. Immutable and thread-safe.
 *
 * @param revision store revision at which the key was last changed; the store's revision increases with each write
 */
public record StoreValue(String key, Bytes value, long revision) {}
