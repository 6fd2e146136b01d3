package io.heatherloft.router.request;

/**
 * Memory that buffered responses of backend servers take up, summed over all attempts of a host.
 *
 * <p>Invariant: no attempt holds more than {@link #MAX_RESPONSE_BYTES}, all together hold no more than
 * {@link #MAX_TOTAL_BYTES}. Confined to the loop's thread.
 */
final class ResponseBuffers {
    /** Limit on the body of one response. */
    static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    /** Limit on the bodies of all responses in progress. */
    static final int MAX_TOTAL_BYTES = 32 * 1024 * 1024;

    private int totalBytes;

    /**
     * Reserves memory for the next part of a response.
     *
     * @param heldBytes bytes that the response holds already
     * @return false if a limit would be exceeded, in which case nothing is reserved
     */
    boolean tryReserve(int heldBytes, int bytes) {
        if (bytes > MAX_RESPONSE_BYTES - heldBytes || bytes > MAX_TOTAL_BYTES - totalBytes) {
            return false;
        }
        totalBytes += bytes;
        return true;
    }

    /** Releases all that a response holds. */
    void release(int heldBytes) {
        totalBytes -= heldBytes;
    }
}
