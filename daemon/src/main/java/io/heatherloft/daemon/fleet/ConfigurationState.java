package io.heatherloft.daemon.fleet;

import io.heatherloft.domain.configuration.Configuration;
import io.heatherloft.ports.configuration.ConfigurationDocument;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The configuration in force on one host: the home of the rule that an accepted configuration never reverts.
 *
 * <p>Invariant: the generation only grows. Confined to the loop's thread.
 */
public final class ConfigurationState {
    private static final Logger LOG = LogManager.getLogger(ConfigurationState.class);

    private final List<Runnable> listeners = new ArrayList<>();
    private ConfigurationDocument document = ConfigurationDocument.NONE;
    private Configuration configuration = Configuration.empty();

    /** Puts a document in force if its generation is higher and it can be read; returns true if it is in force now. */
    public boolean applyIfNewer(ConfigurationDocument offered) {
        if (offered.head().generation() <= generation()) {
            return false;
        }
        Optional<Configuration> parsed = offered.parse();
        if (parsed.isEmpty()) {
            LOG.error(
                    "configuration generation {} cannot be read", offered.head().generation());
            return false;
        }
        document = offered;
        configuration = parsed.get();
        LOG.info(
                "configuration generation {} by {} is in force",
                offered.head().generation(),
                offered.head().operator());
        listeners.forEach(Runnable::run);
        return true;
    }

    /** Calls back after each change. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns the generation in force; 0 before the first. */
    public long generation() {
        return document.head().generation();
    }

    /** Returns the document in force. */
    public ConfigurationDocument document() {
        return document;
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return configuration;
    }
}
