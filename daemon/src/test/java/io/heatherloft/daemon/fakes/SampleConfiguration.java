package io.heatherloft.daemon.fakes;

/** Builds a small valid configuration; tests set the values that matter to them. */
public final class SampleConfiguration {
    private boolean firstVersionWithdrawn;
    private boolean secondVersionAllowed = true;
    private int sharePercent = 50;
    private String withdrawnSession = "refuse";
    private int maxInFlight = 64;
    private int maxQueued = 64;
    private int maxInFlightPerServer = 16;

    public SampleConfiguration withdrawFirstVersion() {
        firstVersionWithdrawn = true;
        return this;
    }

    public SampleConfiguration disallowSecondVersion() {
        secondVersionAllowed = false;
        return this;
    }

    public SampleConfiguration sharePercent(int changed) {
        sharePercent = changed;
        return this;
    }

    public SampleConfiguration moveWithdrawnSessions() {
        withdrawnSession = "successor";
        return this;
    }

    public SampleConfiguration limits(int inFlight, int queued, int inFlightPerServer) {
        maxInFlight = inFlight;
        maxQueued = queued;
        maxInFlightPerServer = inFlightPerServer;
        return this;
    }

    public boolean isFirstVersionWithdrawn() {
        return firstVersionWithdrawn;
    }

    public boolean isSecondVersionAllowed() {
        return secondVersionAllowed;
    }

    public String toYaml() {
        return """
                pools:
                  - {name: small-pool, max-in-flight-per-server: %d}
                  - {name: large-pool, max-in-flight-per-server: %d}
                  - {name: booking-pool}
                services:
                  - {name: booking, pool: booking-pool, price-micros-per-call: 5, timeout-millis: 3000}
                models:
                  - name: small
                    versions:
                      - {name: "1", pool: small-pool, state: %s, successor: "2", output-micros-per-thousand-tokens: 1000}
                      - {name: "2", pool: small-pool, output-micros-per-thousand-tokens: 1000}
                  - name: large
                    versions:
                      - {name: "1", pool: large-pool, output-micros-per-thousand-tokens: 9000}
                cascades:
                  - {name: climb, steps: [small, large], quality-target: 0.95}
                rollouts:
                  - {model: small, from: "1", to: "2", share-percent: %d}
                workspaces:
                  - name: club
                    key-digests: [%s]
                    models:
                      - {model: small, versions: [%s]}
                      - {model: large}
                    classes: {summary: climb}
                    services: [booking]
                    withdrawn-session: %s
                    limits: {max-in-flight: %d, max-queued: %d}
                """
                .formatted(
                        maxInFlightPerServer,
                        maxInFlightPerServer,
                        firstVersionWithdrawn ? "withdrawn" : "active",
                        sharePercent,
                        SimulatedFleet.keyDigest(),
                        secondVersionAllowed ? "\"1\", \"2\"" : "\"1\"",
                        withdrawnSession,
                        maxInFlight,
                        maxQueued);
    }
}
