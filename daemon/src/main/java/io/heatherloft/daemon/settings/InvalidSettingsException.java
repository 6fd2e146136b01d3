package io.heatherloft.daemon.settings;

import io.heatherloft.domain.configuration.Finding;
import java.util.List;
import java.util.stream.Collectors;

/** A settings file that cannot be used; carries every finding. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for a file with the findings in it; none means that the file is empty. */
    public InvalidSettingsException(String path, List<Finding> findings) {
        super(
                findings.isEmpty()
                        ? path + ": the file is empty"
                        : findings.stream().map(Finding::toString).collect(Collectors.joining("\n")));
    }
}
