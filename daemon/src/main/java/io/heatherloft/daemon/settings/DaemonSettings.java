package io.heatherloft.daemon.settings;

import io.heatherloft.domain.configuration.ConfigurationFile;
import io.heatherloft.domain.configuration.Finding;
import io.heatherloft.domain.configuration.YamlCursor;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What one host is told at its start: who it is and where the platform is. Everything else is in the configuration.
 *
 * <p>Immutable and safe for use by several threads. Example:
 *
 * <pre>{@code
 * id: entry-1
 * availability-zone: malmo-a
 * caller-address: 127.0.0.1:8080
 * operations-address: 127.0.0.1:8081
 * peer-address: 127.0.0.1:8082
 * store-url: http://127.0.0.1:2379
 * host-list-url: http://127.0.0.1:2380
 * rating-url: http://127.0.0.1:2381
 * }</pre>
 *
 * @param callerAddress IP number and port for callers
 * @param operationsAddress IP number and port for health, metrics and explanations
 * @param peerAddress IP number and port for other hosts
 * @param balancerNoticeMillis time that the balancer needs to notice that a host is not ready, in milliseconds
 */
public record DaemonSettings(
        String id,
        String availabilityZone,
        String callerAddress,
        String operationsAddress,
        String peerAddress,
        String storeUrl,
        String hostListUrl,
        String ratingUrl,
        long balancerNoticeMillis,
        long drainMillis) {
    private static final long DEFAULT_BALANCER_NOTICE_MILLIS = 3_000L;
    private static final long DEFAULT_DRAIN_MILLIS = 120_000L;
    private static final long MAX_DURATION_MILLIS = 3_600_000L;

    /**
     * Parses a settings file.
     *
     * @throws InvalidSettingsException with every finding, if there is one
     */
    public static DaemonSettings parse(ConfigurationFile file) {
        List<Finding> findings = new ArrayList<>();
        Optional<DaemonSettings> settings = YamlCursor.compose(file, findings).map(cursor -> read(cursor, findings));
        if (settings.isEmpty() || !findings.isEmpty()) {
            throw new InvalidSettingsException(file.path(), findings);
        }
        return settings.get();
    }

    private static DaemonSettings read(YamlCursor cursor, List<Finding> _findings) {
        DaemonSettings settings = new DaemonSettings(
                cursor.requiredText("id"),
                cursor.requiredText("availability-zone"),
                cursor.requiredText("caller-address"),
                cursor.requiredText("operations-address"),
                cursor.requiredText("peer-address"),
                cursor.requiredText("store-url"),
                cursor.requiredText("host-list-url"),
                cursor.requiredText("rating-url"),
                cursor.wholeNumber("balancer-notice-millis", DEFAULT_BALANCER_NOTICE_MILLIS, 0, MAX_DURATION_MILLIS),
                cursor.wholeNumber("drain-millis", DEFAULT_DRAIN_MILLIS, 0, MAX_DURATION_MILLIS));
        cursor.rejectUnknownKeys();
        return settings;
    }
}
