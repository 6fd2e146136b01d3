package io.heatherloft.ports.store;

import io.heatherloft.domain.Bytes;

/**
 * A value of the platform's key-value service. Immutable and safe for use by several threads.
 *
 * @param revision store revision of its last change; grows with each write of the store
 */
public record StoreValue(String key, Bytes value, long revision) {}
