package io.heatherloft.domain.route;

/**
 * Chooses the size of the model for a request from the load of the service and the priority of the request.
 *
 * <p>A larger model answers hard requests well, but takes several times the work. While the servers of the service have capacity
 * left, a request goes to the largest model at once: asking the smallest first would send many requests twice, and the confidence
 * that a model states does not tell all of its poor answers. As load rises, the requests of low priority go to the smallest model
 * first, then those of high priority too; a response is then repeated by the largest model only if its confidence is low.
 *
 * <p>Invariants: of two requests at the same load, the one of higher priority never gets the smaller first model; the confidence
 * that a response needs does not rise with the load. Stateless and thread-safe.
 */
public final class ModelSizePolicy {
    // Share of the slots in use up to which requests of the highest priority start with the largest model. A service
    // that is
    // fuller has no room for the longer runs, and its loads are known with a delay.
    private static final double HIGHEST_PRIORITY_MAX_LOAD = 0.6;
    private static final double LOAD_STEP_PER_PRIORITY = 0.1;
    private static final double LOWEST_PRIORITY_MAX_LOAD = 0.3;
    // Confidence, from 0 to 100, at which a response is as likely correct as incorrect.
    private static final int MIN_CONFIDENCE = 50;
    // Above this share of the slots in use, only responses that are probably poor are worth a second run.
    private static final double FULL_LOAD = 0.9;
    private static final int MIN_CONFIDENCE_AT_FULL_LOAD = 25;

    private ModelSizePolicy() {}

    /**
     * Returns true if a request starts with the largest model.
     *
     * @param load requests in progress on the service per slot
     * @param priority priority of the request, 0 being the highest
     */
    public static boolean startsWithLargest(double load, int priority) {
        double maxLoad = HIGHEST_PRIORITY_MAX_LOAD - LOAD_STEP_PER_PRIORITY * Math.max(0, priority);
        return load <= Math.max(LOWEST_PRIORITY_MAX_LOAD, maxLoad);
    }

    /** Returns the confidence, from 0 to 100, that the response of a smaller model needs to be kept. */
    public static int minConfidence(double load) {
        return load > FULL_LOAD ? MIN_CONFIDENCE_AT_FULL_LOAD : MIN_CONFIDENCE;
    }
}
