package io.heatherloft.daemon.settings;

import io.heatherloft.domain.configuration.Finding;
import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a settings file is empty or invalid; the message lists all findings. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the findings of a file; no findings means that the file is empty. */
    public InvalidSettingsException(String path, List<Finding> findings) {
        super(
                findings.isEmpty()
                        ? path + ": the file is empty"
                        : findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
    }
}
