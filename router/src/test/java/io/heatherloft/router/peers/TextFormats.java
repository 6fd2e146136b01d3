package io.heatherloft.router.peers;

import io.heatherloft.domain.Bytes;
import io.heatherloft.domain.rollout.RolloutOrder;
import io.heatherloft.domain.rollout.RolloutState;
import io.heatherloft.domain.route.BackendRegistration;
import io.heatherloft.domain.route.CallerLimits;
import io.heatherloft.domain.route.RoutingConfiguration;
import io.heatherloft.router.fleet.StoredFormats;
import io.heatherloft.router.fleet.UnreadableValueException;
import java.util.List;
import java.util.Map;

/** Formats of stored values as words that are separated by spaces. Immutable. */
final class TextFormats implements StoredFormats {
    static final String SERVICE = "llm";

    private final long rolloutMillis;

    /**
     * Creates the formats.
     *
     * @param rolloutMillis duration of every rollout, whose order holds the target only
     */
    TextFormats(long rolloutMillis) {
        this.rolloutMillis = rolloutMillis;
    }

    static String configuration(long version) {
        return String.valueOf(version);
    }

    static String backend(String version, String zone) {
        return version + " ready 1 " + zone;
    }

    static String backend(String version, boolean draining, long sequence) {
        return version + ' ' + (draining ? "draining" : "ready") + ' ' + sequence;
    }

    @Override
    public String operatorPrefix() {
        return "op/";
    }

    @Override
    public String configurationKey() {
        return "op/config";
    }

    @Override
    public String evacuationPrefix() {
        return "op/evacuate/";
    }

    @Override
    public String rolloutOrderPrefix() {
        return "op/rollout/";
    }

    @Override
    public String rolloutStatePrefix() {
        return "status/";
    }

    @Override
    public String backendPrefix() {
        return "servers/";
    }

    @Override
    public String hostPrefix() {
        return "hosts/";
    }

    @Override
    public String crashRecordPrefix() {
        return "hosts/crashes/";
    }

    @Override
    public String rolloutProgressPrefix() {
        return "hosts/progress/";
    }

    @Override
    public RoutingConfiguration readConfiguration(Bytes value) throws UnreadableValueException {
        try {
            return new RoutingConfiguration(
                    Long.parseLong(value.toText()), List.of(), List.of(), CallerLimits.DEFAULT, Map.of(), false);
        } catch (NumberFormatException exception) {
            throw new UnreadableValueException("not a version", exception);
        }
    }

    @Override
    public BackendRegistration readBackend(String id, Bytes value) throws UnreadableValueException {
        String[] words = value.toText().split(" ", -1);
        if (words.length != 3 && words.length != 4) {
            throw new UnreadableValueException("expected three words, or four with a zone");
        }
        return new BackendRegistration(
                id,
                1L,
                SERVICE,
                "127.0.0.1:1",
                words.length == 4 ? words[3] : "a",
                words[0],
                64,
                words[1].equals("draining"),
                Long.parseLong(words[2]),
                0L);
    }

    @Override
    public void checkEvacuation(Bytes value) throws UnreadableValueException {
        if (!value.toText().equals("{}")) {
            throw new UnreadableValueException("expected {}");
        }
    }

    @Override
    public RolloutOrder readRolloutOrder(String service, Bytes value) {
        return new RolloutOrder(service, value.toText(), rolloutMillis);
    }

    @Override
    public RolloutState readRolloutState(String service, Bytes value) {
        String[] words = value.toText().split(" ", -1);
        return new RolloutState(service, words[0], RolloutState.Phase.valueOf(words[1]));
    }

    @Override
    public Bytes writeRolloutState(RolloutState state) {
        return Bytes.ofText(state.target() + ' ' + state.phase());
    }
}
