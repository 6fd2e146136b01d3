package io.heatherloft.router.fleet;

/**
 * Order in which hosts write a value that each of them would write, so that usually one does.
 *
 * <p>Confined to the loop's thread.
 */
@FunctionalInterface
public interface WriteTurns {
    /**
     * Returns the time after which this host may write a value, unless it has learned by then that another host did.
     *
     * @param purpose names the value; the order of the hosts differs between purposes
     */
    long delayMillis(String purpose);
}
