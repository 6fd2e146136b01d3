package io.heatherloft.daemon.fleet;

import io.heatherloft.domain.configuration.Configuration;
import io.heatherloft.ports.configuration.ConfigurationDocument;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The configuration that is active on one host. Enforces the rule that an accepted configuration never reverts.
 *
 * <p>Invariant: the generation only increases. Confined to the event loop thread.
 */
public final class ConfigurationState {
    private static final Logger LOG = LogManager.getLogger(ConfigurationState.class);

    private final List<Runnable> listeners = new ArrayList<>();
    private ConfigurationDocument document = ConfigurationDocument.NONE;
    private Configuration configuration = Configuration.empty();

    /** Activates a document if its generation is higher and it can be parsed; returns true if it was activated. */
    public boolean applyIfNewer(ConfigurationDocument candidate) {
        if (candidate.head().generation() <= generation()) {
            return false;
        }
        Optional<Configuration> parsed = candidate.parse();
        if (parsed.isEmpty()) {
            LOG.error(
                    "cannot parse configuration generation {}; keeping generation {}",
                    candidate.head().generation(),
                    generation());
            return false;
        }
        document = candidate;
        configuration = parsed.get();
        LOG.info(
                "configuration generation {} by {} is active",
                candidate.head().generation(),
                candidate.head().operator());
        listeners.forEach(Runnable::run);
        return true;
    }

    /** Adds a listener that runs after each change. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns the active generation, or 0 if there is none yet. */
    public long generation() {
        return document.head().generation();
    }

    /** Returns the active document. */
    public ConfigurationDocument document() {
        return document;
    }

    /** Returns the active configuration. */
    public Configuration configuration() {
        return configuration;
    }
}
